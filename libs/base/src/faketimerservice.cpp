#include <hornbeam/base/faketimerservice.h>

#include <utility>

namespace Hornbeam {

class FakeTimerService::Entry
{
public:
    TimePoint due;
    Duration period;
    std::function<void()> callback;
};

struct FakeTimerService::State
{
    TimePoint now{};
    std::uint64_t nextId = 1;
    std::map<std::uint64_t, Entry> entries;
};

class FakeTimerService::Handle : public TimerSubscription
{
public:
    Handle(std::weak_ptr<State> state, std::uint64_t id)
        : m_state(std::move(state))
        , m_id(id)
    {
    }

    ~Handle() override
    {
        if (const auto state = m_state.lock()) {
            state->entries.erase(m_id);
        }
    }

private:
    std::weak_ptr<State> m_state;
    std::uint64_t m_id;
};

FakeTimerService::FakeTimerService()
    : m_state(std::make_shared<State>())
{
}

FakeTimerService::~FakeTimerService() = default;

TimePoint FakeTimerService::now() const
{
    return m_state->now;
}

TimerHandle FakeTimerService::once(Duration delay, std::function<void()> callback)
{
    return add(delay, Duration::zero(), std::move(callback));
}

TimerHandle FakeTimerService::every(Duration period, std::function<void()> callback)
{
    return add(period, period, std::move(callback));
}

TimerHandle FakeTimerService::add(Duration delay, Duration period, std::function<void()> callback)
{
    const auto id = m_state->nextId++;
    m_state->entries.emplace(id, Entry{.due = m_state->now + delay, .period = period, .callback = std::move(callback)});
    return std::make_unique<Handle>(m_state, id);
}

void FakeTimerService::advance(Duration step)
{
    const TimePoint end = m_state->now + step;
    while (true) {
        auto next = m_state->entries.end();
        for (auto it = m_state->entries.begin(); it != m_state->entries.end(); ++it) {
            const bool earlier = next == m_state->entries.end() || it->second.due < next->second.due;
            if (it->second.due <= end && earlier) {
                next = it;
            }
        }
        if (next == m_state->entries.end()) {
            break;
        }
        m_state->now = std::max(m_state->now, next->second.due);
        const auto callback = next->second.callback;
        if (next->second.period == Duration::zero()) {
            m_state->entries.erase(next);
        } else {
            next->second.due += next->second.period;
        }
        callback();
    }
    m_state->now = end;
}

} // namespace Hornbeam
