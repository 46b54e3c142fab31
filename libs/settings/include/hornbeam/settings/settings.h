#pragma once

#include <hornbeam/base/endpoint.h>
#include <hornbeam/json/jsonreader.h>

#include <tl/expected.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hornbeam {

/** Location of the node, and the target on its host. */
struct NodeSettings
{
    std::string zone; ///< Availability zone. Required.
    std::string region; ///< Region of the zone. Required.
    std::string targetService; ///< Service of the target on this host; empty for none.

    friend auto operator<=>(const NodeSettings &, const NodeSettings &) = default;
};

/** Listeners and limits of the data plane. */
struct TrafficSettings
{
    Endpoint listen; ///< Where callers connect. Required.
    std::uint32_t threads = 2; ///< 1..64.
    std::uint32_t maxConnections = 1000; ///< 1..100000.
    std::uint32_t maxHeaderBytes = 32 * 1024; ///< 1024..1048576.
    std::uint32_t maxQueuedRequests = 256; ///< Per service. 0..100000.
    std::uint32_t maxBufferedBytes = 32 * 1024 * 1024; ///< 65536..1073741824.
    std::chrono::milliseconds idleTimeout{60000}; ///< 100..3600000.
    std::chrono::milliseconds drainBound{30000}; ///< Maximum duration of a graceful shutdown. 0..3600000.
    std::uint32_t retryBudgetPercent = 10; ///< Retries allowed per 100 requests. 0..100.
    std::chrono::milliseconds slowStart{10000}; ///< Time until a new target has its full share. 0..600000.
    std::optional<Endpoint> relayListen; ///< Where other nodes send requests for this host's targets.
    double retryBudgetRatio = 0; ///< Retries of all nodes per request to a service, 0..1; 0: use the percentage.
    std::uint32_t retryBudgetReserve = 0; ///< Additional retries of all nodes per budget window. 0..100000.
    double linkMegabitsPerSecond = 0; ///< Of the host's link in each direction; 0 disables pacing. 0..1000000.
    bool targetPace = false; ///< Whether the targets on this host are paced when they start or recover.
    std::chrono::milliseconds stopNotice{500}; ///< How long requests are still accepted after a stop. 0..60000.

    friend auto operator<=>(const TrafficSettings &, const TrafficSettings &) = default;
};

/** The listener of the operator and announcement API. */
struct AdminSettings
{
    Endpoint listen; ///< Required.
    std::optional<Endpoint> healthListen; ///< Additional listener, for readiness checks.
    std::optional<Endpoint> metricsListen; ///< Additional listener, for metrics collection.

    friend auto operator<=>(const AdminSettings &, const AdminSettings &) = default;
};

/** Addresses for traffic between nodes. */
struct PeerSettings
{
    Endpoint listen; ///< gRPC (TCP) and membership (UDP); also the source IP address of outgoing traffic. Required.
    Endpoint advertise; ///< Address at which other nodes reach this one; by default the listen address.
    std::vector<Endpoint> seeds; ///< Peers to join through; may be empty for the first node.

    friend auto operator<=>(const PeerSettings &, const PeerSettings &) = default;
};

/** Access to the key-value store. */
struct StoreSettings
{
    std::vector<Endpoint> endpoints; ///< At least one.
    std::chrono::milliseconds requestTimeout{1000}; ///< 10..60000.
    std::uint32_t watchersPerZone = 3; ///< Nodes of a zone that watch the store. 1..16.
    std::chrono::seconds claimRetention{86400}; ///< How long executed requests are recorded. 60..604800.

    friend auto operator<=>(const StoreSettings &, const StoreSettings &) = default;
};

/** Limits of the operators for roll-outs of new versions of services. */
struct RolloutSettings
{
    double canaryShare = 0.1; ///< Part of a service's requests that a bad version may get before the deadline. 0..1.
    std::uint32_t canarySlack = 0; ///< Further requests that it may get, over all nodes. 0..100000.
    std::chrono::milliseconds rollbackTime{5000}; ///< Time limit of a withdrawal after 50 bad responses. 500..600000.

    friend auto operator<=>(const RolloutSettings &, const RolloutSettings &) = default;
};

/** Minimum severity of the messages that are logged. */
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/** The process log on standard output. */
struct LogSettings
{
    LogLevel level = LogLevel::Info;

    friend auto operator<=>(const LogSettings &, const LogSettings &) = default;
};

/** Which interfaces the process uses to communicate with other systems. */
enum class Environment {
    Standalone, ///< The project's own interfaces and an etcd store.
    Platform, ///< The interfaces of the users' platform; see platform/.
};

/** The settings of a hornbeamd process. */
struct Settings
{
    Environment environment = Environment::Standalone;
    NodeSettings node;
    TrafficSettings traffic;
    AdminSettings admin;
    PeerSettings peer;
    StoreSettings store;
    std::optional<RolloutSettings> rollout; ///< Absent: versions are ignored, and there are no roll-outs.
    LogSettings log;

    /** Parses and validates JSON. Returns all problems, not just the first. */
    static tl::expected<Settings, JsonProblems> parse(std::string_view json);

    friend auto operator<=>(const Settings &, const Settings &) = default;
};

} // namespace Hornbeam
