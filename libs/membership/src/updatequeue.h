#pragma once

#include <hornbeam/membership/membershiptable.h>

#include "membershipcodec.h"

#include <deque>
#include <map>
#include <vector>

namespace Hornbeam {

/**
 * Updates of members that this node gossips. An update is forwarded in two rounds of gossip datagrams and is also
 * piggybacked on a limited number of other datagrams.
 */
class UpdateQueue
{
public:
    explicit UpdateQueue(std::uint32_t retransmissions);

    /** Queues an update; it replaces a queued one of the same member. */
    void add(MemberHash hash, Wire::MemberUpdate update);

    /** Whether updates wait to be forwarded. */
    bool hasPending() const
    {
        return !m_pending.empty();
    }

    /** Moves updates that wait to be forwarded into @p datagram until it is full. */
    void takePending(Wire::Datagram &datagram);

    /** Whether updates were forwarded once and wait for the second round. */
    bool needsSecondRound() const
    {
        return !m_awaitingSecondRound.empty();
    }

    /** Queues the updates that were forwarded once to be forwarded again; each one is forwarded at most twice. */
    void startSecondRound();

    /** Appends updates that have retransmissions left until @p datagram is full. */
    void piggyback(Wire::Datagram &datagram);

private:
    struct Item
    {
        Wire::MemberUpdate update;
        std::uint32_t retransmissionsLeft = 0;
        bool pending = false; ///< Waits to be forwarded.
        bool forwarded = false; ///< Was forwarded at least once.
    };

    std::uint32_t m_retransmissions;
    std::map<MemberHash, Item> m_items;
    std::vector<MemberHash> m_pending;
    std::vector<MemberHash> m_awaitingSecondRound;
    std::deque<MemberHash> m_retransmitQueue; ///< Round-robin order in which items are piggybacked.
};

/** Appends @p update if the datagram does not exceed maxDatagramBytes; otherwise returns false. */
bool appendUpdate(Wire::Datagram &datagram, const Wire::MemberUpdate &update);

} // namespace Hornbeam
