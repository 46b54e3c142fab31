#pragma once

#include <hornbeam/base/error.h>
#include <hornbeam/membership/failuredetectoroptions.h>
#include <hornbeam/membership/heartbeat.h>
#include <hornbeam/membership/membershiptable.h>
#include <hornbeam/membership/payload.h>
#include <hornbeam/membership/rumor.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Hornbeam {

class DatagramTransport;
class MetricsRegistry;

/** Dependencies of the failure detector; the referenced objects must outlive it. */
struct FailureDetectorDependencies
{
    DatagramTransport &transport;
    TimerService &timers;
    MembershipTable &table;
    MetricsRegistry &metrics;
};

/**
 * Keeps the membership table up to date with the SWIM protocol: probes, suspicion and gossip of updates (Das, Gupta,
 * Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002).
 * The load per node does not depend on the number of members. Control thread only.
 */
class FailureDetector
{
public:
    using HeartbeatListener = std::function<void(const Heartbeat &)>;
    using RumorListener = std::function<void(const Rumor &)>;
    using JoinListener = std::function<void()>;
    using PayloadListener = std::function<void(const Payload &)>;

    /** InvalidArgument when an option is out of range. */
    static Result<std::unique_ptr<FailureDetector>> make(FailureDetectorOptions options,
                                                         FailureDetectorDependencies dependencies);

    ~FailureDetector();

    /** Adds this node to the table, joins through the seeds and starts probing. */
    void start();

    /**
     * Announces a planned stop to the other members and stops probing. Keep the object until the process ends: it
     * repeats the announcement and answers pings of members that missed it.
     */
    void leave();

    /** Whether the complete table of a seed was received, or no seed other than this node is set. */
    bool joined() const;

    /**
     * Replaces the seeds. Seeds at whose address no live member is known are contacted immediately and then
     * periodically, so that nodes find each other after a start, a stop or a partition.
     */
    void setSeeds(std::vector<Endpoint> seeds);

    /** Sets the targets that this node announces; a change increments the incarnation and is gossiped immediately. */
    void setTargets(std::vector<Target> targets);

    /** Sets whether this node announces that it watches the store; a change is gossiped like one of the targets. */
    void setStoreWatcher(bool watcher);

    /** Sets the version and the content digest prefix of the applied configuration, which every datagram reports. */
    void setConfig(std::uint64_t version, std::uint64_t digestPrefix);

    /** Spreads a rumor to all members and calls the listeners of this node, unless the rumor is already known. */
    void spread(const Rumor &rumor);

    /** Returns the rumors that have not expired, with their remaining time to live. */
    std::vector<Rumor> rumors() const;

    /**
     * Sends a message of another library to @p member in a datagram. Does nothing if the member is not live, this node
     * has left or @p content exceeds maxPayloadBytes.
     */
    void sendPayload(const std::string &member, PayloadKind kind, const std::string &content);

    /** Calls @p listener for every payload received, of all kinds. */
    void subscribePayloads(PayloadListener listener);

    /** Calls @p listener for every valid datagram received, with the state of the sender that it reports. */
    void subscribeHeartbeats(HeartbeatListener listener);

    /** Calls @p listener once for each new rumor. */
    void subscribeRumors(RumorListener listener);

    /** Calls @p listener once when joined() becomes true. */
    void subscribeJoined(JoinListener listener);

private:
    class Impl;

    explicit FailureDetector(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

} // namespace Hornbeam
