#pragma once

#include <hornbeam/base/timerservice.h>

#include <memory>

namespace Hornbeam {

/**
 * A timer service for tests that can be paused. Time goes on during the pause; timers that become due run at resume().
 * Together with a ManualExecutor that is not run, this models a process that is suspended and resumed.
 */
class PausableTimerService : public TimerService
{
public:
    /** @p inner supplies the time and must outlive this object. */
    explicit PausableTimerService(TimerService &inner);
    ~PausableTimerService() override;

    TimePoint now() const override;
    TimerHandle once(Duration delay, std::function<void()> callback) override;
    TimerHandle every(Duration period, std::function<void()> callback) override;

    void pause();

    /** Ends the pause and runs the timers that became due during it, in the order of their due times. */
    void resume();

private:
    class Handle;
    struct State;

    TimerHandle add(Duration delay, bool periodic, std::function<void()> callback);

    TimerService &m_inner;
    std::shared_ptr<State> m_state;
};

} // namespace Hornbeam
