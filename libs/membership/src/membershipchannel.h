#pragma once

#include <hornbeam/membership/failuredetectoroptions.h>

#include "rumortable.h"
#include "updatequeue.h"

#include <functional>
#include <random>

namespace Hornbeam {

class DatagramTransport;

/** Sends the datagrams of this node and piggybacks updates and rumors that have retransmissions left. */
class MembershipChannel
{
public:
    using Predicate = std::function<bool(const Member &)>;

    /** The referenced objects must outlive the channel. */
    MembershipChannel(const FailureDetectorOptions &options,
                      DatagramTransport &transport,
                      const MembershipTable &table,
                      UpdateQueue &updates,
                      RumorTable &rumors);

    void setIncarnation(std::uint64_t incarnation);
    void setConfig(std::uint64_t version, std::uint64_t digestPrefix);

    /** Returns a datagram with the header of this node. */
    Wire::Datagram makeDatagram() const;

    /** Sends the datagram without adding updates or rumors. */
    void sendWithoutPiggyback(const Endpoint &peer, const Wire::Datagram &datagram);

    /**
     * Piggybacks updates and rumors on the datagram and sends it. For a receiver that is not alive in the table, its
     * own state is added before the others, so that it can refute as early as possible. @p peerHash may be 0 for an
     * unknown member.
     */
    void send(const Endpoint &peer, MemberHash peerHash, Wire::Datagram datagram);

    /** Sends @p member its own state as this node has recorded it, so that the member can refute. */
    void sendRecordedState(const Member &member);

    /** Returns up to @p count different live members that satisfy @p accept, in random order, without this node. */
    MemberList chooseMembers(std::size_t count, const Predicate &accept);

    /** Returns a random number, uniform in [0, bound). */
    std::uint64_t randomBelow(std::uint64_t bound);

    /** Returns a random duration, uniform in [shortest, longest]. */
    Duration randomDuration(Duration shortest, Duration longest);

    MemberHash selfHash() const
    {
        return m_selfHash;
    }

private:
    DatagramTransport &m_transport;
    const MembershipTable &m_table;
    UpdateQueue &m_updates;
    RumorTable &m_rumors;
    MemberHash m_selfHash;
    Wire::Datagram m_header;
    std::mt19937_64 m_random;
};

} // namespace Hornbeam
