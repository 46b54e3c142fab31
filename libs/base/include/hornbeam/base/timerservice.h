#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace Hornbeam {

using Duration = std::chrono::steady_clock::duration;
using TimePoint = std::chrono::steady_clock::time_point;

/** Keeps a timer active; destroying it cancels the timer. Destroy it on the thread that runs the callbacks. */
class TimerSubscription
{
public:
    virtual ~TimerSubscription() = default;
};

using TimerHandle = std::unique_ptr<TimerSubscription>;

/**
 * Monotonic clock and timers.
 * Callbacks run on the control thread. Tests use FakeTimerService instead of real time.
 */
class TimerService
{
public:
    virtual ~TimerService() = default;

    /** The current monotonic time. */
    virtual TimePoint now() const = 0;

    /** Calls @p callback once after @p delay unless the handle is destroyed first. */
    [[nodiscard]] virtual TimerHandle once(Duration delay, std::function<void()> callback) = 0;

    /** Calls @p callback every @p period (greater than zero) until the handle is destroyed. */
    [[nodiscard]] virtual TimerHandle every(Duration period, std::function<void()> callback) = 0;
};

} // namespace Hornbeam
