#pragma once

#include "logger.h"

#include <hornbeam/proxy/requestlog.h>

#include <mutex>

namespace Hornbeam {

class Counter;
class MetricsRegistry;

/** Writes decisions about requests to the process log, a bounded number a second. Safe from any thread. */
class RequestLogger : public RequestLog
{
public:
    explicit RequestLogger(MetricsRegistry &metrics);

    void record(const RequestEvent &event) override;

private:
    bool takeLine();

    Logger m_log{"request"};
    Counter &m_dropped;
    std::mutex m_mutex;
    double m_lines;
    TimePoint m_updated;
};

} // namespace Hornbeam
