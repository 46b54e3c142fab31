#pragma once

#include <hornbeam/base/timerservice.h>

#include <memory>

namespace Hornbeam {

/**
 * The timers of a process that can be paused, for tests. Time goes on while it is paused; timers that become due run
 * at resume(). Together with a ManualExecutor that is not run, this models a process that is stopped and continued.
 */
class PausableTimerService : public TimerService
{
public:
    /** @p inner supplies the time and outlives this object. */
    explicit PausableTimerService(TimerService &inner);
    ~PausableTimerService() override;

    TimePoint now() const override;
    TimerHandle once(Duration delay, std::function<void()> callback) override;
    TimerHandle every(Duration period, std::function<void()> callback) override;

    void pause();

    /** Continues, and runs the timers that became due meanwhile in the order of their due times. */
    void resume();

private:
    class Handle;
    struct State;

    TimerHandle add(Duration delay, bool periodic, std::function<void()> callback);

    TimerService &m_inner;
    std::shared_ptr<State> m_state;
};

} // namespace Hornbeam
