#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace Hornbeam {

/** A response whose bytes do not end: @p piece is repeated after @p head until the proxy closes the connection. */
struct EndlessResponse
{
    const char *name;
    std::string head;
    std::string piece;

    /** The head with @p fields, each ending in CRLF, if it has fields. */
    std::string headWith(const std::string &fields) const;

    /** At least @p bytes of repeated pieces. */
    std::string pieces(std::size_t bytes) const;
};

/** One response for each part of a response that can go on without end. */
const std::vector<EndlessResponse> &endlessResponses();

} // namespace Hornbeam
