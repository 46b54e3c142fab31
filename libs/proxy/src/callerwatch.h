#pragma once

#include "timedsocket.h"

#include <functional>

namespace Hornbeam {

/**
 * Notices that a caller disconnects while its request waits or runs, and cancels what the request waits for.
 * A caller that closes only its sending side counts as gone: the two cannot be told apart.
 */
class CallerWatch
{
public:
    explicit CallerWatch(TimedSocket &caller);
    CallerWatch(const CallerWatch &) = delete;
    CallerWatch &operator=(const CallerWatch &) = delete;
    ~CallerWatch();

    /** Starts watching. Call it when the whole request has been read. */
    void start();
    void stop();

    bool isGone() const
    {
        return m_gone;
    }

    /** Sets what to call when the caller disconnects; null for nothing. */
    void setCancel(std::function<void()> cancel);

private:
    TimedSocket &m_caller;
    std::function<void()> m_cancel;
    bool m_gone = false;
};

} // namespace Hornbeam
