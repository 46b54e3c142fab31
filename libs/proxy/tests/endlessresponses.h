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
};

/** One response for each part of a response that can go on without end. */
const std::vector<EndlessResponse> &endlessResponses();

/** Memory of this process that is in use, without pages that were swapped out. */
std::size_t residentBytes();

} // namespace Hornbeam
