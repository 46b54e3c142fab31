#pragma once

#include <compare>
#include <string>

namespace Hornbeam {

/** A name and value that a target announces and a route can require, for example {"track", "canary"}. */
struct Label
{
    std::string name;
    std::string value;

    friend auto operator<=>(const Label &, const Label &) = default;
};

} // namespace Hornbeam
