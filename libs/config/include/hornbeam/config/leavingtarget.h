#pragma once

#include <hornbeam/base/endpoint.h>

#include <compare>

namespace Hornbeam {

/** A target that an operator is taking out of service; it receives no new requests. */
struct LeavingTarget
{
    Endpoint address;

    friend auto operator<=>(const LeavingTarget &, const LeavingTarget &) = default;
};

} // namespace Hornbeam
