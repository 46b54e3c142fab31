#include "callerwatch.h"

#include <utility>

namespace Hornbeam {

CallerWatch::CallerWatch(TimedSocket &caller)
    : m_caller(caller)
{
}

CallerWatch::~CallerWatch()
{
    stop();
}

void CallerWatch::start()
{
    m_started = true;
    m_caller.watchDisconnect([this] { notifyDisconnected(); });
}

void CallerWatch::notifyDisconnected()
{
    m_disconnected = true;
    if (m_cancel) {
        m_cancel();
    }
}

void CallerWatch::stop()
{
    if (std::exchange(m_started, false)) {
        m_caller.stopWatching();
    }
}

void CallerWatch::setCancelCallback(std::function<void()> cancel)
{
    m_cancel = std::move(cancel);
}

} // namespace Hornbeam
