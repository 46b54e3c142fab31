#pragma once

#include "logger.h"

#include <hornbeam/proxy/requestlog.h>

#include <mutex>

namespace Hornbeam {

class Counter;
class MetricsRegistry;

/** Writes decisions about requests to the process log, rate-limited by a token bucket. Thread-safe. */
class RequestLogger : public RequestLog
{
public:
    explicit RequestLogger(MetricsRegistry &metrics);

    void record(const RequestEvent &event) override;

private:
    bool takeToken();

    Logger m_log{"request"};
    Counter &m_dropped;
    std::mutex m_mutex;
    double m_tokens; ///< Lines that may be written now.
    TimePoint m_refilledAt;
};

} // namespace Hornbeam
