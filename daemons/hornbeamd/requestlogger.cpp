#include "requestlogger.h"

#include <hornbeam/base/metrics.h>

#include <algorithm>

namespace Hornbeam {

namespace {

// Log lines cost CPU time, which is scarcest when there is most to log. The burst shows how an incident begins.
constexpr double linesPerSecond = 10;
constexpr double burstLines = 50;

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

void appendProgress(const RequestProgress &progress, std::vector<LogField> &fields)
{
    fields.insert(fields.end(),
                  {{"stage", std::string(progress.stage)},
                   {"sentBytes", std::to_string(progress.bytesSent)},
                   {"ofBytes", std::to_string(progress.bytesExpected)},
                   {"targetMs", milliseconds(progress.target)},
                   {"bodyMs", milliseconds(progress.body)},
                   {"linkMs", milliseconds(progress.link)},
                   {"callerMs", milliseconds(progress.caller)}});
}

} // namespace

RequestLogger::RequestLogger(MetricsRegistry &metrics)
    : m_dropped(metrics.counter("hornbeam_log_dropped_total",
                                "Decisions about requests that the rate limit kept out of the log."))
    , m_tokens(burstLines)
    , m_refilledAt(std::chrono::steady_clock::now())
{
}

void RequestLogger::record(const RequestEvent &event)
{
    if (!takeToken()) {
        m_dropped.add();
        return;
    }
    std::vector<LogField> fields = {{"id", std::string(event.id)},
                                    {"route", std::string(event.route)},
                                    {"service", std::string(event.service)},
                                    {"target", std::string(event.target)},
                                    {"reason", std::string(event.reason)},
                                    {"status", std::to_string(event.status)},
                                    {"version", std::to_string(event.configVersion)},
                                    {"account", std::string(event.account)},
                                    {"rank", std::to_string(event.rank)},
                                    {"ageMs", milliseconds(event.age)},
                                    {"leftMs", milliseconds(event.timeLeft)},
                                    {"expectedWaitMs", milliseconds(event.expectedWait)},
                                    {"from", event.fromPeer ? "peer" : "caller"}};
    if (event.progress) {
        appendProgress(*event.progress, fields);
    }
    m_log.info(std::string(event.decision), fields);
}

bool RequestLogger::takeToken()
{
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard lock(m_mutex);
    const std::chrono::duration<double> passed = now - m_refilledAt;
    m_refilledAt = now;
    m_tokens = std::min(m_tokens + passed.count() * linesPerSecond, burstLines);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace Hornbeam
