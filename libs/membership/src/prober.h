#pragma once

#include "membershipchannel.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Hornbeam {

/** Probes one member per period, directly and then through other members. */
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

    /** Drops the running probe without a verdict, because this process itself did not run in time. */
    void abandonProbe();

    /** Any message proves that its sender is reachable. */
    void messageReceived(MemberHash sender);

    void handlePing(const Wire::Datagram &datagram);
    void handlePingRequest(const Wire::Datagram &datagram);
    void handleAck(const Wire::Datagram &datagram);

    /** Forgets probes on behalf of others that were not answered in time. */
    void sweep();

private:
    struct Probe
    {
        MemberHash target = 0;
        std::uint32_t sequence = 0;
        TimePoint sent{};
    };

    struct Relay
    {
        Endpoint requester;
        MemberHash requesterHash = 0;
        std::uint32_t sequence = 0; ///< The requester's own.
        TimePoint expiry{};
    };

    void nextPeriod();
    void probeIndirectly();
    MemberPtr nextTarget();
    void sendPing(const Endpoint &address, MemberHash target, std::uint32_t sequence);

    const FailureDetectorOptions &m_options;
    MembershipChannel &m_channel;
    TimerService &m_timers;
    const MembershipTable &m_table;
    UnresponsiveListener m_unresponsive;
    std::vector<MemberHash> m_order; ///< Members left to probe in this round, in random order.
    std::optional<Probe> m_probe;
    std::map<std::uint32_t, Relay> m_relays;
    std::uint32_t m_sequence;
    TimerHandle m_periodTimer;
    TimerHandle m_timeoutTimer;
};

} // namespace Hornbeam
