#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace Hornbeam {

using Duration = std::chrono::steady_clock::duration;
using TimePoint = std::chrono::steady_clock::time_point;

/** Keeps a timer subscription alive; destroying it cancels the timer. Destroy it on the timer's own thread. */
class TimerSubscription
{
public:
    virtual ~TimerSubscription() = default;
};

using TimerHandle = std::unique_ptr<TimerSubscription>;

/**
 * Monotonic time and timers that parts of the process subscribe to.
 * Callbacks run on the control thread. Tests use FakeTimerService instead of real time.
 */
class TimerService
{
public:
    virtual ~TimerService() = default;

    /** Monotonic time. */
    virtual TimePoint now() const = 0;

    /** Calls @p callback once after @p delay unless the handle is destroyed first. */
    [[nodiscard]] virtual TimerHandle once(Duration delay, std::function<void()> callback) = 0;

    /** Calls @p callback every @p period (greater than zero) until the handle is destroyed. */
    [[nodiscard]] virtual TimerHandle every(Duration period, std::function<void()> callback) = 0;
};

} // namespace Hornbeam
