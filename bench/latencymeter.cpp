#include "latencymeter.h"

#include "keepaliveclient.h"
#include "quantiles.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/this_coro.hpp>
#include <asio/use_awaitable.hpp>

#include <memory>
#include <vector>

namespace Hornbeam {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int callsPerSecond = 300;
constexpr std::chrono::milliseconds callTimeout{2000};
constexpr auto calledPath = "/latency";

// Each connection carries one request every 33 ms, so that a slow request does not delay the following ones.
constexpr int connections = 10;
constexpr std::chrono::nanoseconds connectionPeriod{std::chrono::nanoseconds(std::chrono::seconds(1)) * connections
                                                    / callsPerSecond};

struct CallSeries
{
    std::vector<double> milliseconds;
    std::size_t failures = 0;
};

asio::awaitable<void> callRepeatedly(KeepAliveClient &client,
                                     Clock::time_point first,
                                     Clock::time_point end,
                                     CallSeries &series)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    // Opens the connection, so that the measured latencies do not include the connection setup.
    co_await client.get(calledPath, callTimeout);
    for (auto next = first; next < end; next += connectionPeriod) {
        timer.expires_at(next);
        co_await timer.async_wait(asio::use_awaitable);
        const auto start = Clock::now();
        const auto response = co_await client.get(calledPath, callTimeout);
        if (response.status == 200) {
            series.milliseconds.push_back(std::chrono::duration<double, std::milli>(Clock::now() - start).count());
        } else {
            ++series.failures;
        }
    }
}

} // namespace

AddedLatency measureAddedLatency(const Endpoint &node, const Endpoint &target, std::chrono::seconds duration)
{
    CallSeries throughNode;
    CallSeries direct;
    asio::io_context context(1);
    std::vector<std::unique_ptr<KeepAliveClient>> clients;
    const auto start = Clock::now() + std::chrono::milliseconds(200);
    for (int i = 0; i < connections; ++i) {
        const auto first = start + connectionPeriod * i / connections;
        for (const bool toNode : {true, false}) {
            clients.push_back(std::make_unique<KeepAliveClient>(context, toNode ? node : target));
            auto &series = toNode ? throughNode : direct;
            // The requests of the two series are interleaved, so that they do not compete for the same CPU core.
            const auto offset = toNode ? std::chrono::nanoseconds(0) : connectionPeriod / connections / 2;
            asio::co_spawn(
                context, callRepeatedly(*clients.back(), first + offset, start + duration, series), asio::detached);
        }
    }
    context.run();
    const auto nodeP99 = quantile(throughNode.milliseconds, 0.99);
    const auto directP99 = quantile(direct.milliseconds, 0.99);
    return {.p50 = quantile(throughNode.milliseconds, 0.5) - quantile(direct.milliseconds, 0.5),
            .p99 = nodeP99 - directP99,
            .throughNodeP99 = nodeP99,
            .directP99 = directP99,
            .calls = throughNode.milliseconds.size(),
            .failures = throughNode.failures + direct.failures};
}

} // namespace Hornbeam
