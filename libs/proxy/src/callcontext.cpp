#include "callcontext.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace Hornbeam {

namespace {

/** Body bytes that take part in the crash digest; enough to tell apart requests that crash a parser. */
constexpr std::size_t crashDigestBodyBytes = 4096;

/** Longest deadline that a caller can ask for, the same as the bound of a route's timeout. */
constexpr std::int64_t maxDeadlineMs = 3600000;

/** Time for writing a refusal after the request's deadline has passed. */
constexpr auto refusalTime = std::chrono::seconds(1);

Duration timeoutOf(const HttpHead &head, const Route &route)
{
    const auto *value = head.find("x-hornbeam-deadline-ms");
    std::int64_t ms = 0;
    if (value == nullptr) {
        return route.timeout;
    }
    const auto [end, ec] = std::from_chars(value->data(), value->data() + value->size(), ms);
    if (ec != std::errc() || end != value->data() + value->size() || ms < 0) {
        return route.timeout;
    }
    return std::chrono::milliseconds(std::min(ms, maxDeadlineMs));
}

} // namespace

CallContext::CallContext(ServerCore &serverCore,
                         UpstreamPool &threadPool,
                         const std::shared_ptr<asio::io_context> &threadContext,
                         HttpStream &callerStream,
                         RoutingStatePtr routingState,
                         const Route &matchedRoute,
                         const Service &routeService)
    : core(serverCore)
    , pool(threadPool)
    , context(threadContext)
    , caller(callerStream)
    , state(std::move(routingState))
    , route(matchedRoute)
    , service(routeService)
    , body(callerStream, routeService.maxRequestBytes)
    , watch(callerStream.socket())
    , started(std::chrono::steady_clock::now())
    , deadline(started + timeoutOf(callerStream.reader().head(), matchedRoute))
{
}

const Digest &CallContext::crashDigest()
{
    if (!m_crashDigest) {
        const auto &bytes = body.buffered();
        auto text = head().method + '\n' + head().target + '\n';
        text.append(bytes, 0, std::min(bytes.size(), crashDigestBodyBytes));
        m_crashDigest = Digest::of(text);
    }
    return *m_crashDigest;
}

bool CallContext::canKeepAlive() const
{
    return head().keepAlive && body.isComplete() && !core.draining.load(std::memory_order_relaxed);
}

asio::awaitable<void> CallContext::refuse(Refusal refusal)
{
    if (sentToTarget && refusal.outcome == RefusalOutcome::NotRun) {
        refusal.outcome = RefusalOutcome::Unknown;
    }
    watch.stop();
    core.metrics.countResponse(route.name, refusal.status);
    keepOpen = co_await writeRefusal(core, caller, refusal, state->snapshot->version(), canKeepAlive());
}

asio::awaitable<bool> writeRefusal(
    ServerCore &core, HttpStream &caller, Refusal refusal, std::uint64_t version, bool keepAlive)
{
    core.metrics.countRefusal(refusal.reason);
    const bool withBody = caller.reader().head().method != "HEAD";
    const auto text = formatRefusal(refusal, version, keepAlive, withBody);
    const std::array buffers = {asio::const_buffer(text.data(), text.size())};
    std::size_t n = 0;
    const auto ec = co_await caller.socket().write(buffers, std::chrono::steady_clock::now() + refusalTime, n);
    co_return keepAlive && !ec;
}

} // namespace Hornbeam
