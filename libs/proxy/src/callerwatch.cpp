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
    m_caller.watchDisconnect([this] {
        m_disconnected = true;
        if (m_cancel) {
            m_cancel();
        }
    });
}

void CallerWatch::stop()
{
    m_caller.stopWatching();
}

void CallerWatch::setCancelCallback(std::function<void()> cancel)
{
    m_cancel = std::move(cancel);
}

} // namespace Hornbeam
