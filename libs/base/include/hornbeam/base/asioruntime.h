#pragma once

#include <hornbeam/base/executor.h>
#include <hornbeam/base/timerservice.h>

#include <memory>

namespace asio {
class io_context;
}

namespace Hornbeam {

/** Executor on top of an asio::io_context, which must outlive it. */
class AsioExecutor : public Executor
{
public:
    explicit AsioExecutor(asio::io_context &context);

    void post(std::function<void()> work) override;

private:
    asio::io_context &m_context;
};

/** Timer service on top of an asio::io_context, which must outlive it. Use it on the thread that runs the context. */
class AsioTimerService : public TimerService
{
public:
    explicit AsioTimerService(asio::io_context &context);

    TimePoint now() const override;
    TimerHandle once(Duration delay, std::function<void()> callback) override;
    TimerHandle every(Duration period, std::function<void()> callback) override;

private:
    asio::io_context &m_context;
};

} // namespace Hornbeam
