#include "versionpoller.h"

#include "keepaliveclient.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/this_coro.hpp>
#include <asio/use_awaitable.hpp>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace Hornbeam {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t pollThreads = 3;
constexpr std::chrono::milliseconds pollPeriod{10};
constexpr std::chrono::milliseconds callTimeout{1000};
constexpr auto polledPath = "/poll";

/** A thread that runs an event loop. */
struct PollThread
{
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(context);
    std::thread thread{[this] {
        context.run();
    }};
};

} // namespace

class VersionPoller::Impl
{
public:
    explicit Impl(const std::vector<Endpoint> &nodes)
        : m_threads(pollThreads)
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            m_clients.push_back(std::make_unique<KeepAliveClient>(contextOf(i), nodes[i]));
        }
    }

    ~Impl()
    {
        for (auto &it : m_threads) {
            it.context.stop();
            it.thread.join();
        }
    }

    void begin(const std::vector<int> &nodes, std::uint64_t version, std::chrono::milliseconds timeout)
    {
        const std::lock_guard lock(m_mutex);
        m_served.assign(nodes.size(), std::nullopt);
        m_running = nodes.size();
        const auto deadline = Clock::now() + timeout;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            const auto node = static_cast<std::size_t>(nodes[i]);
            asio::co_spawn(contextOf(node), poll(*m_clients[node], i, version, deadline), asio::detached);
        }
    }

    std::vector<ServedTime> wait()
    {
        std::unique_lock lock(m_mutex);
        m_finished.wait(lock, [this] { return m_running == 0; });
        return m_served;
    }

private:
    asio::io_context &contextOf(std::size_t node)
    {
        return m_threads[node % pollThreads].context;
    }

    asio::awaitable<void> poll(KeepAliveClient &client,
                               std::size_t index,
                               std::uint64_t version,
                               Clock::time_point deadline)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        auto next = Clock::now();
        while (next < deadline) {
            const auto response = co_await client.get(polledPath, callTimeout);
            if (response.status == 200 && response.version >= version) {
                finish(index, Clock::now());
                co_return;
            }
            next = std::max(next + pollPeriod, Clock::now());
            timer.expires_at(next);
            co_await timer.async_wait(asio::use_awaitable);
        }
        finish(index, std::nullopt);
    }

    void finish(std::size_t index, ServedTime time)
    {
        const std::lock_guard lock(m_mutex);
        m_served[index] = time;
        --m_running;
        m_finished.notify_all();
    }

    std::mutex m_mutex;
    std::condition_variable m_finished;
    std::vector<ServedTime> m_served;
    std::size_t m_running = 0;
    std::vector<PollThread> m_threads;
    std::vector<std::unique_ptr<KeepAliveClient>> m_clients; ///< Declared after the event loops that their sockets use.
};

VersionPoller::VersionPoller(const std::vector<Endpoint> &nodes)
    : m_impl(std::make_unique<Impl>(nodes))
{
}

VersionPoller::~VersionPoller() = default;

void VersionPoller::begin(const std::vector<int> &nodes, std::uint64_t version, std::chrono::milliseconds timeout)
{
    m_impl->begin(nodes, version, timeout);
}

std::vector<ServedTime> VersionPoller::wait()
{
    return m_impl->wait();
}

} // namespace Hornbeam
