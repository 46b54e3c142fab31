#pragma once

#include <hornbeam/membership/membershiptable.h>

#include "membershipcodec.h"

#include <deque>
#include <map>
#include <vector>

namespace Hornbeam {

/** Fresh updates of members that are forwarded at once and then repeated by a bounded number of further messages. */
class UpdateQueue
{
public:
    explicit UpdateQueue(std::uint32_t retransmissions);

    /** Queues the state of a member; it replaces an older one of the same member. */
    void add(MemberHash hash, Wire::MemberUpdate update);

    /** Whether updates wait to be forwarded at once. */
    bool hasFresh() const
    {
        return !m_fresh.empty();
    }

    /** Moves fresh updates into @p datagram until it is full; they are repeated later. */
    void takeFresh(Wire::Datagram &datagram);

    /** Whether forwarded updates wait for their second forwarding. */
    bool hasForwarded() const
    {
        return !m_forwarded.empty();
    }

    /** Makes the forwarded updates fresh once more; each update is forwarded at most twice. */
    void refresh();

    /** Appends updates that still have repetitions left until @p datagram is full. */
    void piggyback(Wire::Datagram &datagram);

private:
    struct Item
    {
        Wire::MemberUpdate update;
        std::uint32_t remaining = 0;
        bool fresh = false; ///< Waits to be forwarded.
        bool forwarded = false; ///< Was forwarded once.
    };

    std::uint32_t m_retransmissions;
    std::map<MemberHash, Item> m_items;
    std::vector<MemberHash> m_fresh;
    std::vector<MemberHash> m_forwarded;
    std::deque<MemberHash> m_repeated; ///< Round robin of the items with repetitions left.
};

/** Appends @p update when the datagram stays within its bound. */
bool appendUpdate(Wire::Datagram &datagram, const Wire::MemberUpdate &update);

} // namespace Hornbeam
