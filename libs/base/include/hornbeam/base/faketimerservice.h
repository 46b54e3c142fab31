#pragma once

#include <hornbeam/base/timerservice.h>

#include <map>

namespace Hornbeam {

/** A timer service whose time only moves when advance() is called. Single-threaded; used by tests. */
class FakeTimerService : public TimerService
{
public:
    FakeTimerService();
    ~FakeTimerService() override;

    TimePoint now() const override;
    TimerHandle once(Duration delay, std::function<void()> callback) override;
    TimerHandle every(Duration period, std::function<void()> callback) override;

    /** Moves time forward by @p step and runs every timer that becomes due, in order of its due time. */
    void advance(Duration step);

private:
    class Entry;
    class Handle;
    struct State;

    TimerHandle add(Duration delay, Duration period, std::function<void()> callback);

    std::shared_ptr<State> m_state;
};

} // namespace Hornbeam
