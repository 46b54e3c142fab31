#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Hornbeam {

/** Identifies an account in messages: the first 8 bytes of the SHA-256 digest of its name. */
using AccountKey = std::uint64_t;

/** The request rate that an account may have over all nodes together. */
struct AccountLimit
{
    std::string name;
    double ratePerSecond = 0; ///< Requests a second; greater than 0.
    double burst = 0; ///< Further requests after a time without any; at least 0.

    friend auto operator<=>(const AccountLimit &, const AccountLimit &) = default;
};

AccountKey accountKey(const std::string &name);

} // namespace Hornbeam
