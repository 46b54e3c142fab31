#include "limitreports.h"

#include <utility>

namespace Hornbeam {

namespace {

/** A crowd reaches a limit thousands of times per second; the metric has the number. */
constexpr std::chrono::seconds logPeriod{1};

constexpr std::array<const char *, 4> names = {"head bytes", "head time", "buffered bytes", "connections"};

} // namespace

LimitReports::LimitReports(MetricsRegistry &metrics, RequestLog *log)
    : m_log(log)
{
    for (std::size_t i = 0; i < names.size(); ++i) {
        m_entries[i].counter = &metrics.counter("hornbeam_proxy_client_limits_total",
                                                "Requests refused and connections closed at a limit of clients.",
                                                {{"limit", names[i]}});
    }
}

void LimitReports::reached(ClientLimit limit, int status, bool fromPeer)
{
    const auto index = static_cast<std::size_t>(limit);
    auto &entry = m_entries[index];
    entry.counter->add();
    const auto now = std::chrono::steady_clock::now();
    auto next = entry.nextLog.load(std::memory_order_relaxed);
    if (m_log == nullptr || now < next || !entry.nextLog.compare_exchange_strong(next, now + logPeriod)) {
        return;
    }
    RequestEvent event;
    event.decision = "limited";
    event.reason = names[index];
    event.status = status;
    event.fromPeer = fromPeer;
    m_log->record(event);
}

} // namespace Hornbeam
