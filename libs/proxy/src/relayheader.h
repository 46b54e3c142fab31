#pragma once

#include "admissionrank.h"

#include <hornbeam/accounts/callaccount.h>
#include <hornbeam/base/timerservice.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Hornbeam {

/** Header of requests between nodes; its value is a RelayRequest. */
inline constexpr std::string_view relayHeaderName = "X-Hornbeam-Relay";

/** Header of requests between nodes; its value is a RelaySender. */
inline constexpr std::string_view nodeHeaderName = "X-Hornbeam-Node";

/** Header of requests between nodes; its value is formatRelayAccount(). */
inline constexpr std::string_view accountHeaderName = "X-Hornbeam-Relay-Account";

/** Header of responses between nodes; its value is a LoadReport. */
inline constexpr std::string_view loadHeaderName = "X-Hornbeam-Load";

/** Metadata of a request that a node relays to the node on the target's host. */
struct RelayRequest
{
    std::string target; ///< Name of the target, which must be on the receiving host.
    std::string service; ///< Service to which the target must belong.
    std::string route; ///< Name of the route that the request matched.
    std::chrono::milliseconds timeLeft{0}; ///< Time left until the deadline.
    std::chrono::milliseconds maxWait{0}; ///< Longest wait for a slot of the target.
    AdmissionRank rank = Priority::Normal;
    bool idempotent = true; ///< The request may run more than once.
    bool bulk = false; ///< The response is expected to be large.
    bool repeated = false; ///< A target may already have run the request.

    std::string format() const;

    /** Parses the result of format(); nothing for any other text. */
    static std::optional<RelayRequest> parse(std::string_view text);

    friend bool operator==(const RelayRequest &, const RelayRequest &) = default;
};

/** The node that relays a request. */
struct RelaySender
{
    std::string nodeId; ///< See ProxyOptions::nodeId. Not empty.
    std::chrono::milliseconds stopTime{0}; ///< Time limit of a graceful shutdown of the node.

    std::string format() const;

    /** Parses the result of format(); nothing for any other text. */
    static std::optional<RelaySender> parse(std::string_view text);

    friend bool operator==(const RelaySender &, const RelaySender &) = default;
};

/** Formats the client account of a request that a node relays. */
std::string formatRelayAccount(const CallAccount &account);

/** Parses the result of formatRelayAccount(); nothing for any other text. */
std::optional<CallAccount> parseRelayAccount(std::string_view text);

/** The load of a target as reported by the node on its host. */
struct LoadReport
{
    std::uint32_t running = 0; ///< Requests that run at the target.
    std::array<std::uint32_t, AdmissionRank::count> waiting{}; ///< Requests that wait for a slot, by rank.
    std::uint32_t slots = 1; ///< Requests that the target runs concurrently. 1..10000.
    std::chrono::milliseconds serviceTime{0}; ///< Mean time of recent requests at the target; 0 without any.
    std::uint32_t timePercent = 100; ///< Expected time of the next requests, relative to the mean. 1..10000.
    std::uint32_t failuresPerMille = 0; ///< Failure rate of recent requests at the target. 0..1000.
    std::chrono::milliseconds routeTime{0}; ///< Mean time of recent requests of the same route; 0 without any.
    std::chrono::milliseconds largeWait{0}; ///< Wait of a large response for the link of the target's host.
    bool refusedByTarget = false; ///< The request reached the target, and the target refused it.
    bool dependencyFailed = false; ///< A service that the request calls is overloaded, or a call to it failed.

    /** Requests that run, or that get a slot before a new request of @p rank. */
    std::uint32_t ahead(AdmissionRank rank) const;

    std::string format() const;

    /** Parses the result of format(); nothing for any other text. */
    static std::optional<LoadReport> parse(std::string_view text);

    friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

} // namespace Hornbeam
