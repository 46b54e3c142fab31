#pragma once

#include <hornbeam/base/timerservice.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Hornbeam {

/** What a connection of a client is doing, for the choice of connections to close at the limit. */
struct ConnectionActivity
{
    bool waiting = false; ///< No request of it is in progress, or the body of its request has not arrived.
    bool served = false; ///< It is idle after a request that was answered, or waits for the body of a request.
    TimePoint since; ///< When the wait began.
};

/**
 * Decides how many connections of clients a process serves, and which ones it closes when the limit is reached. It
 * answers a crowd that opens connections and sends no request or a slow one, which would keep ordinary callers in the
 * listen backlog until the idle timeout.
 */
namespace ConnectionLimits {

/** Time in which a new connection may send its first request when the limit is reached; a caller's network is fast. */
constexpr std::chrono::milliseconds firstRequestTime{250};

/** Time for which an idle connection stays open when the limit is reached. */
constexpr std::chrono::milliseconds idleTime{1000};

/** Largest number of connections that are closed at once. */
constexpr std::size_t maxClosedAtOnce = 64;

/**
 * Connections of callers, and of other nodes, that the descriptors allow. The rest of @p descriptors stays free for
 * targets, the store, peers and the operator API. @p configured: the limit of the settings.
 */
std::size_t callerConnections(std::size_t configured, std::uint64_t descriptors);
std::size_t peerConnections(std::size_t configured, std::uint64_t descriptors);

/**
 * Returns the indexes of the connections to close at the limit @p limit: first those that wait for their first request
 * or for the rest of a head, then the others, the longest wait first. Empty if none has waited long enough.
 */
std::vector<std::size_t> toClose(const std::vector<ConnectionActivity> &connections, std::size_t limit, TimePoint now);

} // namespace ConnectionLimits

} // namespace Hornbeam
