#pragma once

#include <hornbeam/base/error.h>
#include <hornbeam/membership/failuredetectoroptions.h>
#include <hornbeam/membership/heartbeat.h>
#include <hornbeam/membership/membershiptable.h>
#include <hornbeam/membership/rumor.h>

#include <functional>
#include <memory>
#include <vector>

namespace Hornbeam {

class DatagramTransport;
class MetricsRegistry;

/** What the failure detector needs; the referenced objects outlive it. */
struct FailureDetectorDependencies
{
    DatagramTransport &transport;
    TimerService &timers;
    MembershipTable &table;
    MetricsRegistry &metrics;
};

/**
 * Keeps the membership table up to date by probing, suspicion and dissemination of updates, as SWIM does (Das, Gupta,
 * Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002).
 * Control thread only; the load per node does not depend on the number of members.
 */
class FailureDetector
{
public:
    using HeartbeatListener = std::function<void(const Heartbeat &)>;
    using RumorListener = std::function<void(const Rumor &)>;
    using JoinListener = std::function<void()>;

    /** InvalidArgument when an option is out of range. */
    static Result<std::unique_ptr<FailureDetector>> make(FailureDetectorOptions options,
                                                         FailureDetectorDependencies dependencies);

    ~FailureDetector();

    /** Enters this node into the table, joins through the seeds and starts probing. */
    void start();

    /** Announces a planned stop to the other members and stops probing. Keep the object until the process ends. */
    void leave();

    /** Whether the table of a seed or another member was received in full, or there is no other seed. */
    bool joined() const;

    /**
     * Replaces the seeds. Those that are not the address of a live member are contacted at once and again while they
     * stay without one, so that nodes find each other after a start, a stop or a partition.
     */
    void setSeeds(std::vector<Endpoint> seeds);

    /** Sets what this node says about its targets; a change gets a new incarnation and spreads at once. */
    void setTargets(std::vector<Target> targets);

    /** Sets whether this node watches the store; a change spreads like one of the targets. */
    void setStoreWatcher(bool watcher);

    /** Sets the applied configuration that every message reports. */
    void setConfig(std::uint64_t version, std::uint64_t digestPrefix);

    /** Spreads a rumor to all members. The own listeners receive it as well, unless it is already known. */
    void spread(const Rumor &rumor);

    /** Rumors that have not expired, with their remaining time to live. */
    std::vector<Rumor> rumors() const;

    /** Calls @p listener for every valid message received, with what it says about its sender. */
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
