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

/** A complete response that can be replayed to a caller that retries. */
struct RecordedResponse
{
    int status = 0;
    std::vector<RecordedHeader> headers;
    std::string body;
    bool bodyOmitted = false; ///< The body was too large to be recorded; headers may be missing too.

    friend auto operator<=>(const RecordedResponse &, const RecordedResponse &) = default;
};

} // namespace Hornbeam
