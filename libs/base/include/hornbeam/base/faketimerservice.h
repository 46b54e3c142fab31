#pragma once

#include <hornbeam/base/timerservice.h>

#include <map>

namespace Hornbeam {

/** A timer service for tests whose time advances only in advance(). Single-threaded. */
class FakeTimerService : public TimerService
{
public:
    FakeTimerService();
    ~FakeTimerService() override;

    TimePoint now() const override;
    TimerHandle once(Duration delay, std::function<void()> callback) override;
    TimerHandle every(Duration period, std::function<void()> callback) override;

    /** Advances time by @p step and runs every timer that becomes due, in the order of their due times. */
    void advance(Duration step);

private:
    class Entry;
    class Handle;
    struct State;

    TimerHandle add(Duration delay, Duration period, std::function<void()> callback);

    std::shared_ptr<State> m_state;
};

} // namespace Hornbeam
