#include <hornbeam/store/pausabletimerservice.h>

#include <utility>
#include <vector>

namespace Hornbeam {

struct PausableTimerService::State
{
    bool paused = false;
    std::vector<std::function<void()>> due;
};

class PausableTimerService::Handle : public TimerSubscription
{
public:
    explicit Handle(std::shared_ptr<bool> active)
        : m_active(std::move(active))
    {
    }

    ~Handle() override
    {
        *m_active = false;
    }

    void setInner(TimerHandle inner)
    {
        m_inner = std::move(inner);
    }

private:
    std::shared_ptr<bool> m_active;
    TimerHandle m_inner;
};

PausableTimerService::PausableTimerService(TimerService &inner)
    : m_inner(inner)
    , m_state(std::make_shared<State>())
{
}

PausableTimerService::~PausableTimerService() = default;

TimePoint PausableTimerService::now() const
{
    return m_inner.now();
}

TimerHandle PausableTimerService::once(Duration delay, std::function<void()> callback)
{
    return add(delay, false, std::move(callback));
}

TimerHandle PausableTimerService::every(Duration period, std::function<void()> callback)
{
    return add(period, true, std::move(callback));
}

void PausableTimerService::pause()
{
    m_state->paused = true;
}

void PausableTimerService::resume()
{
    m_state->paused = false;
    const auto due = std::exchange(m_state->due, {});
    for (const auto &callback : due) {
        callback();
    }
}

TimerHandle PausableTimerService::add(Duration delay, bool periodic, std::function<void()> callback)
{
    const auto active = std::make_shared<bool>(true);
    auto run = [active, callback = std::move(callback)] {
        if (*active) {
            callback();
        }
    };
    auto fire = [state = m_state, run = std::move(run)] {
        if (state->paused) {
            state->due.emplace_back(run);
        } else {
            run();
        }
    };
    auto handle = std::make_unique<Handle>(active);
    handle->setInner(periodic ? m_inner.every(delay, std::move(fire)) : m_inner.once(delay, std::move(fire)));
    return handle;
}

} // namespace Hornbeam
