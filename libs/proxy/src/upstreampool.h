#pragma once

#include "upstreamconnection.h"

#include <map>
#include <vector>

namespace Hornbeam {

struct UpstreamPoolOptions
{
    std::size_t maxIdlePerTarget = 32;
    Duration idleTimeout = std::chrono::seconds(30); ///< Shorter than the idle timeout of most targets.
};

/** Idle connections of one traffic thread to targets and other nodes. */
class UpstreamPool
{
public:
    explicit UpstreamPool(UpstreamPoolOptions options);

    /**
     * Takes the most recently used idle connection that the target has not closed, or null.
     * @p maxIdle: longest time since its last response.
     */
    UpstreamConnectionPtr take(const Endpoint &target, TimePoint now, Duration maxIdle = Duration::max());

    void put(UpstreamConnectionPtr connection);

    /**
     * Closes the idle connections to @p target without a response since @p since. Called after an attempt has timed
     * out: a network fault that breaks one established connection usually breaks the older ones as well.
     */
    void closeOlder(const Endpoint &target, TimePoint since);

    void closeExpired(TimePoint now);

    /** Closes all idle connections. */
    void clear();

    std::size_t size() const;

private:
    bool isExpired(const UpstreamConnection &connection, TimePoint now) const;

    UpstreamPoolOptions m_options;
    std::map<Endpoint, std::vector<UpstreamConnectionPtr>> m_idle; ///< By target; the most recently used is last.
};

} // namespace Hornbeam
