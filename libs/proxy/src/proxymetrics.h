#pragma once

#include <hornbeam/base/metrics.h>

#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace Hornbeam {

/** Metrics of request handling. Thread-safe. */
class ProxyMetrics
{
public:
    explicit ProxyMetrics(MetricsRegistry &registry);

    /** Counts a response by route and status class. @p route: empty for requests that match no route. */
    void countResponse(const std::string &route, int status);
    void countRefusal(const char *reason);

    Counter &retries;
    Counter &crashes;
    Counter &silentConnections;
    Counter &truncatedResponses;
    Counter &cancelled;
    Counter &interrupted;
    Counter &strayResponses;
    Counter &socketOptionFailures;
    LatencyRecorder &addedTime;

private:
    MetricsRegistry &m_registry;
    std::mutex m_mutex;
    std::map<std::pair<std::string, int>, Counter *> m_responses; ///< By route and status class.
    std::map<std::string, Counter *, std::less<>> m_refusals;
};

} // namespace Hornbeam
