#pragma once

#include <compare>
#include <string>
#include <vector>

namespace Hornbeam {

struct RecordedHeader
{
    std::string name;
    std::string value;

    friend auto operator<=>(const RecordedHeader &, const RecordedHeader &) = default;
};

/** A whole response that can be repeated to a caller that asks again. */
struct RecordedResponse
{
    int status = 0;
    std::vector<RecordedHeader> headers;
    std::string body;
    bool bodyOmitted = false; ///< The body was larger than the claim store keeps; only the status is known.

    friend auto operator<=>(const RecordedResponse &, const RecordedResponse &) = default;
};

} // namespace Hornbeam
