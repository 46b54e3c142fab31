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

/** Where the process runs. */
struct NodeSettings
{
    std::string zone; ///< Availability zone. Required.
    std::string region; ///< Region of the zone. Required.
    std::string targetService; ///< Service of the target on this host; empty for none.

    friend auto operator<=>(const NodeSettings &, const NodeSettings &) = default;
};

/** The listener for callers and the limits of the traffic path. */
struct TrafficSettings
{
    Endpoint listen; ///< Required.
    std::uint32_t threads = 2; ///< 1..64.
    std::uint32_t maxConnections = 1000; ///< 1..100000.
    std::uint32_t maxHeaderBytes = 32 * 1024; ///< 1024..1048576.
    std::uint32_t maxQueuedRequests = 256; ///< Per service. 0..100000.
    std::chrono::milliseconds idleTimeout{60000}; ///< 100..3600000.
    std::chrono::milliseconds drainBound{30000}; ///< Longest graceful shutdown. 0..3600000.
    std::uint32_t retryBudgetPercent = 10; ///< 0..100.
    std::chrono::milliseconds slowStart{10000}; ///< 0..600000.
    std::optional<Endpoint> relayListen; ///< Where other nodes send requests for the targets of this host.
    double retryBudgetRatio = 0; ///< Retries of all nodes per request of a service, 0..1; 0 uses the percentage.
    std::uint32_t retryBudgetReserve = 0; ///< Further retries of all nodes in the budget's window. 0..100000.
    double linkMegabitsPerSecond = 0; ///< Of the host's link in each direction; 0 for no pacing. 0..1000000.
    std::chrono::milliseconds stopNotice{500}; ///< Requests are still taken for this time after a stop. 0..60000.

    friend auto operator<=>(const TrafficSettings &, const TrafficSettings &) = default;
};

/** The listener of the operator and announcement API. */
struct AdminSettings
{
    Endpoint listen; ///< Required.
    std::optional<Endpoint> healthListen; ///< A second listener, for those who only ask whether the node is ready.
    std::optional<Endpoint> metricsListen; ///< A third one, for those who collect the metrics.

    friend auto operator<=>(const AdminSettings &, const AdminSettings &) = default;
};

/** Addresses between nodes. */
struct PeerSettings
{
    Endpoint listen; ///< gRPC (TCP) and membership (UDP). Required. Outgoing traffic leaves from its IP address.
    Endpoint advertise; ///< Address under which other nodes reach this one; the listen address by default.
    std::vector<Endpoint> seeds; ///< Peers to join through; may be empty for the first node.

    friend auto operator<=>(const PeerSettings &, const PeerSettings &) = default;
};

/** The platform's key-value service. */
struct StoreSettings
{
    std::vector<Endpoint> endpoints; ///< At least one.
    std::chrono::milliseconds requestTimeout{1000}; ///< 10..60000.
    std::uint32_t watchersPerZone = 3; ///< Nodes of a zone that watch the store. 1..16.
    std::chrono::seconds claimRetention{86400}; ///< How long executed requests are remembered. 60..604800.

    friend auto operator<=>(const StoreSettings &, const StoreSettings &) = default;
};

/** Lowest severity that is written to the log. */
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

/** Whose interfaces the process uses towards its environment. */
enum class Environment {
    Standalone, ///< The project's own ones and an etcd store.
    Platform, ///< Those of the users' platform, see platform/.
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
    LogSettings log;

    /** Parses and checks JSON. All problems are reported, not just the first. */
    static tl::expected<Settings, JsonProblems> parse(std::string_view json);

    friend auto operator<=>(const Settings &, const Settings &) = default;
};

} // namespace Hornbeam
