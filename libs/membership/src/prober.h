#pragma once

#include "membershipchannel.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Hornbeam {

/** Probes one member per period: first with a ping, then indirectly through other members. */
class Prober
{
public:
    using UnresponsiveListener = std::function<void(MemberHash)>;

    Prober(const FailureDetectorOptions &options,
           MembershipChannel &channel,
           TimerService &timers,
           const MembershipTable &table,
           UnresponsiveListener unresponsive);

    void start();
    void stop();

    /** Drops the current probe without a result, for example because this process itself did not run for some time. */
    void abandonProbe();

    /** Ends a probe of @p sender: any message proves that its sender is reachable. */
    void messageReceived(MemberHash sender);

    void handlePing(const Wire::Datagram &datagram);
    void handlePingRequest(const Wire::Datagram &datagram);
    void handleAck(const Wire::Datagram &datagram);

    /** Removes probes on behalf of other members that were not answered in time. */
    void sweep();

private:
    struct Probe
    {
        MemberHash member = 0;
        std::uint32_t sequence = 0;
        TimePoint sent{};
    };

    /** An indirect probe that this node sends on behalf of another member. */
    struct RequestedProbe
    {
        Endpoint requester;
        MemberHash requesterHash = 0;
        std::uint32_t requesterSequence = 0; ///< Sequence number of the requester's probe.
        TimePoint expiry{};
    };

    void nextPeriod();
    void probeIndirectly();
    MemberPtr nextMember();
    void sendPing(const Endpoint &address, MemberHash member, std::uint32_t sequence);

    const FailureDetectorOptions &m_options;
    MembershipChannel &m_channel;
    TimerService &m_timers;
    const MembershipTable &m_table;
    UnresponsiveListener m_unresponsive;
    std::vector<MemberHash> m_probeOrder; ///< Members still to probe in this round, in random order.
    std::optional<Probe> m_probe;
    std::map<std::uint32_t, RequestedProbe> m_requestedProbes; ///< By the sequence number of this node's ping.
    std::uint32_t m_sequence;
    TimerHandle m_periodTimer;
    TimerHandle m_timeoutTimer;
};

} // namespace Hornbeam
