#pragma once

#include "upstreamconnection.h"

#include <map>
#include <vector>

namespace Hornbeam {

struct UpstreamPoolOptions
{
    std::size_t maxIdlePerTarget = 32;
    Duration idleTimeout = std::chrono::seconds(30); ///< Shorter than what targets usually grant.
};

/** The idle connections of one traffic thread to the targets. */
class UpstreamPool
{
public:
    explicit UpstreamPool(UpstreamPoolOptions options);

    /** Takes the most recently used idle connection that its target has not closed, or null. @p maxIdle: longest rest.
     */
    UpstreamConnectionPtr take(const Endpoint &target, TimePoint now, Duration maxIdle = Duration::max());

    void put(UpstreamConnectionPtr connection);

    /**
     * Closes the idle connections to @p target that have not answered since @p since. Called after a connection became
     * silent: a network fault that drops one established connection has usually dropped the older ones as well.
     */
    void closeOlder(const Endpoint &target, TimePoint since);

    void closeExpired(TimePoint now);

    /** Closes all idle connections. */
    void clear();

    std::size_t size() const;

private:
    bool isExpired(const UpstreamConnection &connection, TimePoint now) const;

    UpstreamPoolOptions m_options;
    std::map<Endpoint, std::vector<UpstreamConnectionPtr>> m_idle; ///< The most recently used one is last.
};

} // namespace Hornbeam
