#pragma once

#include "timedsocket.h"

#include <functional>

namespace Hornbeam {

/**
 * Detects that a caller disconnects while its request is waiting or running, and cancels the operation in progress.
 * A caller that shuts down only its sending side counts as disconnected, because the two cannot be distinguished.
 */
class CallerWatch
{
public:
    explicit CallerWatch(TimedSocket &caller);
    CallerWatch(const CallerWatch &) = delete;
    CallerWatch &operator=(const CallerWatch &) = delete;
    ~CallerWatch();

    /** Starts watching. Call it after the whole request has been read. */
    void start();
    void stop();

    /** Tells the watch that the owner of the connection has seen the caller disconnect. */
    void notifyDisconnected();

    bool isDisconnected() const
    {
        return m_disconnected;
    }

    /** Sets the function to call when the caller disconnects; null for none. */
    void setCancelCallback(std::function<void()> cancel);

private:
    TimedSocket &m_caller;
    std::function<void()> m_cancel;
    bool m_started = false; ///< Another owner may watch the same socket otherwise.
    bool m_disconnected = false;
};

} // namespace Hornbeam
