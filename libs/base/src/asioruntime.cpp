#include <hornbeam/base/asioruntime.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <utility>

namespace Hornbeam {

namespace {

class AsioTimer : public TimerSubscription
{
public:
    AsioTimer(asio::io_context &context, Duration period, std::function<void()> callback)
        : m_state(std::make_shared<State>(context, period, std::move(callback)))
    {
    }

    ~AsioTimer() override
    {
        m_state->active = false;
        m_state->timer.cancel();
    }

    void start(Duration delay)
    {
        m_state->timer.expires_after(delay);
        wait(m_state);
    }

private:
    struct State
    {
        State(asio::io_context &context, Duration timerPeriod, std::function<void()> timerCallback)
            : timer(context)
            , period(timerPeriod)
            , callback(std::move(timerCallback))
        {
        }

        asio::steady_timer timer;
        Duration period;
        std::function<void()> callback;
        bool active = true;
    };

    static void wait(const std::shared_ptr<State> &state)
    {
        state->timer.async_wait([state](const std::error_code &ec) {
            if (ec || !state->active) {
                return;
            }
            if (state->period > Duration::zero()) {
                state->timer.expires_after(state->period);
                wait(state);
            }
            // The callback may destroy the subscription; the copy keeps the function alive while it runs.
            const auto callback = state->callback;
            callback();
        });
    }

    std::shared_ptr<State> m_state;
};

} // namespace

AsioExecutor::AsioExecutor(asio::io_context &context)
    : m_context(context)
{
}

void AsioExecutor::post(std::function<void()> work)
{
    asio::post(m_context, std::move(work));
}

AsioTimerService::AsioTimerService(asio::io_context &context)
    : m_context(context)
{
}

TimePoint AsioTimerService::now() const
{
    return std::chrono::steady_clock::now();
}

TimerHandle AsioTimerService::once(Duration delay, std::function<void()> callback)
{
    auto timer = std::make_unique<AsioTimer>(m_context, Duration::zero(), std::move(callback));
    timer->start(delay);
    return timer;
}

TimerHandle AsioTimerService::every(Duration period, std::function<void()> callback)
{
    auto timer = std::make_unique<AsioTimer>(m_context, period, std::move(callback));
    timer->start(period);
    return timer;
}

} // namespace Hornbeam
