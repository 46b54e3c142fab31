#pragma once

#include "admissionrank.h"

#include <hornbeam/base/timerservice.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Hornbeam {

/** Header of a request between nodes; its value is a RelayRequest. */
inline constexpr std::string_view relayHeaderName = "X-Hornbeam-Relay";

/** Header of a response between nodes; its value is a LoadReport. */
inline constexpr std::string_view loadHeaderName = "X-Hornbeam-Load";

/** What a node tells the node of a target about the request that it sends there. */
struct RelayRequest
{
    std::string target; ///< Name of the target; it must be the one on the receiving host.
    std::string service; ///< Service that the target must belong to.
    std::string route; ///< Name of the route that the request matched.
    std::chrono::milliseconds left{0}; ///< Until the response is of no use.
    std::chrono::milliseconds maxWait{0}; ///< Longest time in the queue of the target.
    AdmissionRank rank = Priority::Normal;
    bool repeatable = true; ///< The request may run more than once.
    bool bulk = false; ///< The response is large.
    bool repeated = false; ///< Another target may have run the request before.

    std::string format() const;

    /** Nothing for text that format() does not write. */
    static std::optional<RelayRequest> parse(std::string_view text);

    friend bool operator==(const RelayRequest &, const RelayRequest &) = default;
};

/** The load of a target as its own node sees it. */
struct LoadReport
{
    std::uint32_t running = 0;
    std::array<std::uint32_t, AdmissionRank::count> waiting{}; ///< By rank.
    std::uint32_t slots = 1; ///< Requests that run at the same time. 1..10000.
    std::chrono::milliseconds serviceTime{0}; ///< Mean time of a recent request; 0 when there was none.
    std::uint32_t failuresPerMille = 0; ///< Share of recent requests that failed at the target. 0..1000.
    std::chrono::milliseconds routeTime{0}; ///< Mean time of a request of the same route; 0 when there was none.
    std::chrono::milliseconds largeWait{0}; ///< Of a large response at the link of the target's host.
    bool arrived = false; ///< The request reached the target, which refused it.
    bool dependencyFailed = false; ///< A service that the request calls has no room, or a call of it failed.

    /** Requests that run or come before a new one of @p rank. */
    std::uint32_t ahead(AdmissionRank rank) const;

    std::string format() const;

    /** Nothing for text that format() does not write. */
    static std::optional<LoadReport> parse(std::string_view text);

    friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

} // namespace Hornbeam
