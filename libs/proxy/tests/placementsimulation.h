#pragma once

#include "placementpolicy.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Hornbeam {

/** The fleet, its load and the release of a PlacementSimulation. */
struct SimulationOptions
{
    std::uint32_t nodes = 88;
    std::uint32_t targets = 45; ///< On the first nodes.
    std::uint32_t zones = 3;
    std::uint32_t slots = 6; ///< Of each target.
    double requestsPerSecond = 805; ///< Of all nodes.
    std::vector<double> speeds = {0.7, 0.7, 1.6}; ///< Factors on the work, in turn over the targets.
    std::chrono::milliseconds work{120}; ///< Mean, at speed 1.
    std::chrono::milliseconds nested{50}; ///< Time for nested calls, during which the slot is held.
    std::chrono::milliseconds objective{400};
    std::chrono::milliseconds coldTime{3000}; ///< For which a new target takes twice as long.
    std::chrono::milliseconds releaseStart{10000};
    std::uint32_t released = 14; ///< Targets that are replaced, two at a time.
    std::chrono::milliseconds releasePeriod{800}; ///< Between two steps of the release.
    std::chrono::milliseconds length{25000};
    double swing = 0; ///< Share by which the demand of a zone rises and falls, one zone after the other. 0..1.
    std::chrono::milliseconds wavePeriod{17000};
    double noiseShare = 0; ///< Share of the targets that are slowed down by other work on their host. 0..1.
    double noiseFactor = 2.5; ///< On the work of these targets.
    std::chrono::milliseconds noisePeriod{600}; ///< After which other targets are slowed down.
    double tailShare = 0; ///< Share of the requests that take much longer. 0..1.
    double tailFactor = 7;
    int retries = 0; ///< How often a refused caller comes back.
    std::chrono::milliseconds deadline{1500}; ///< Of a caller, since its first attempt.
    std::chrono::milliseconds retryAfter{150}; ///< Least time after which a refused caller comes back.
    std::chrono::milliseconds retryJitter{300};
    bool loadFactor = false; ///< Reports tell whether the target is slowed down.
    bool oracle = false; ///< Placement knows all queues at each moment.
    PlacementOptions placement{};
    std::uint64_t seed = 1;
};

/** What the callers of a PlacementSimulation got in an interval. */
struct SimulationResult
{
    std::uint32_t requests = 0;
    std::uint32_t inTime = 0; ///< Answered within the latency objective.
    std::uint32_t refused = 0;
    std::uint32_t refusedAgain = 0; ///< Came back after a refusal.

    double inTimeShare() const
    {
        return requests == 0 ? 0 : static_cast<double>(inTime) / requests;
    }
};

/**
 * Plays requests on a fleet in virtual time. Each node places its requests with its own PlacementPolicy and knows the
 * load of remote targets only from the reports in their responses, as in LoadBalancer. A target runs requests on its
 * slots and queues others for the time that the sending node allows.
 */
class PlacementSimulation
{
public:
    explicit PlacementSimulation(SimulationOptions options);
    ~PlacementSimulation();

    void run();

    /** The requests that callers sent in [@p from, @p to) since the start. */
    SimulationResult between(std::chrono::milliseconds from, std::chrono::milliseconds to) const;

    /** Highest number of requests that one target ran in that interval, divided by the mean of all targets. */
    double skewBetween(std::chrono::milliseconds from, std::chrono::milliseconds to) const;

private:
    struct Node;
    struct Server;
    struct Call;
    using CallPtr = std::shared_ptr<Call>;
    using ServerPtr = std::shared_ptr<Server>;

    struct Sample
    {
        TimePoint sent;
        bool inTime = false;
        bool refused = false;
        bool again = false;
    };

    void at(TimePoint time, std::function<void()> action);
    void addServer(std::uint32_t host, bool cold);
    void replaceServers();
    void arrive(std::uint32_t node);
    void place(const CallPtr &call);
    void offer(const CallPtr &call, const ServerPtr &server, Duration maxWait);
    void startNext(const ServerPtr &server);
    void start(const CallPtr &call, const ServerPtr &server);
    void complete(const CallPtr &call, const ServerPtr &server);
    void refuse(const CallPtr &call, const ServerPtr &server);
    void finish(const CallPtr &call, bool answered);
    LoadReport reportOf(const Server &server) const;
    Duration delayTo(const Call &call, const Server &server) const;
    Duration workTime(const Server &server);
    Duration slowedTime(const Server &server, Duration work) const;
    double demandOf(std::uint32_t node, TimePoint time) const;
    bool isSlowed(const Server &server, TimePoint time) const;
    void lookAtAllQueues(Node &node);

    SimulationOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now{std::chrono::hours(1)};
    const TimePoint m_begin = m_now;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<ServerPtr> m_servers; ///< By host.
    std::vector<Sample> m_samples;
    std::vector<std::pair<TimePoint, std::string>> m_runs; ///< Start of each run and name of its target.
    std::uint32_t m_nextReplaced = 0;
    std::uint32_t m_incarnations = 0;
};

} // namespace Hornbeam
