#include "proxymetrics.h"

namespace Hornbeam {

ProxyMetrics::ProxyMetrics(MetricsRegistry &registry)
    : retries(registry.counter("hornbeam_proxy_retries_total", "Requests sent to another target after a failure."))
    , crashes(registry.counter("hornbeam_proxy_target_crashes_total", "Connections closed while a request ran."))
    , silentConnections(registry.counter("hornbeam_proxy_silent_total", "Attempts that timed out without a response."))
    , truncatedResponses(registry.counter("hornbeam_proxy_truncated_total", "Responses that a target left incomplete."))
    , cancelled(registry.counter("hornbeam_proxy_cancelled_total", "Requests whose caller disconnected."))
    , strayResponses(registry.counter("hornbeam_proxy_stray_responses_total",
                                      "Responses to other requests than the one that was sent last."))
    , socketOptionFailures(registry.counter("hornbeam_proxy_socket_option_failures_total",
                                            "Connections to other nodes without the timeouts for broken links."))
    , addedTime(registry.latency("hornbeam_proxy_added_seconds", "Time that the proxy itself adds to a call."))
    , m_registry(registry)
{
}

void ProxyMetrics::countResponse(const std::string &route, int status)
{
    const std::lock_guard lock(m_mutex);
    auto &counter = m_responses[{route, status / 100}];
    if (counter == nullptr) {
        counter = &m_registry.counter("hornbeam_proxy_requests_total",
                                      "Responses by route and status class.",
                                      {{"route", route}, {"class", std::to_string(status / 100) + "xx"}});
    }
    counter->add();
}

void ProxyMetrics::countRefusal(const char *reason)
{
    const std::lock_guard lock(m_mutex);
    auto it = m_refusals.find(reason);
    if (it == m_refusals.end()) {
        auto &counter = m_registry.counter(
            "hornbeam_proxy_refusals_total", "Answers of the proxy itself by reason.", {{"reason", reason}});
        it = m_refusals.emplace(reason, &counter).first;
    }
    it->second->add();
}

} // namespace Hornbeam
