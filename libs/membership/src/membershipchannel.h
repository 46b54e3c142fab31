#pragma once

#include <hornbeam/membership/failuredetectoroptions.h>

#include "rumorboard.h"
#include "updatequeue.h"

#include <functional>
#include <random>

namespace Hornbeam {

class DatagramTransport;

/** Sends datagrams of this node: the header, the body, and updates and rumors that still have to be repeated. */
class MembershipChannel
{
public:
    using Predicate = std::function<bool(const Member &)>;

    /** The referenced objects must outlive the channel. */
    MembershipChannel(const FailureDetectorOptions &options,
                      DatagramTransport &transport,
                      const MembershipTable &table,
                      UpdateQueue &updates,
                      RumorBoard &rumors);

    void setIncarnation(std::uint64_t incarnation);
    void setConfig(std::uint64_t version, std::uint64_t digestPrefix);

    /** Returns a datagram with the header of this node. */
    Wire::Datagram makeDatagram() const;

    /** Sends the datagram as it is. */
    void sendPlain(const Endpoint &peer, const Wire::Datagram &datagram);

    /**
     * Adds repeated updates and rumors and sends the datagram. A receiver that is not regarded as alive is told so
     * first, which lets it refute as early as possible. @p peerHash may be 0 for an unknown member.
     */
    void send(const Endpoint &peer, MemberHash peerHash, Wire::Datagram datagram);

    /** Tells a member what this node believes about it. */
    void sendOwnState(const Member &member);

    /** Returns up to @p count different live members in random order, without this node. */
    MemberList chooseMembers(std::size_t count, const Predicate &accept);

    /** Uniform in [0, bound). */
    std::uint64_t randomBelow(std::uint64_t bound);

    /** Uniform in [shortest, longest]. */
    Duration randomDuration(Duration shortest, Duration longest);

    MemberHash selfHash() const
    {
        return m_selfHash;
    }

private:
    DatagramTransport &m_transport;
    const MembershipTable &m_table;
    UpdateQueue &m_updates;
    RumorBoard &m_rumors;
    MemberHash m_selfHash;
    Wire::Datagram m_header;
    std::mt19937_64 m_random;
};

} // namespace Hornbeam
