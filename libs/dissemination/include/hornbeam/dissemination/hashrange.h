#pragma once

#include <hornbeam/membership/membershiptable.h>

#include <compare>

namespace Hornbeam {

/** A closed range of member hashes. */
struct HashRange
{
    MemberHash first = 0;
    MemberHash last = ~MemberHash(0);

    bool contains(MemberHash hash) const
    {
        return first <= hash && hash <= last;
    }

    bool contains(const HashRange &other) const
    {
        return first <= other.first && other.last <= last;
    }

    friend auto operator<=>(const HashRange &, const HashRange &) = default;
};

} // namespace Hornbeam
