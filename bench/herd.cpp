#include "keepaliveclient.h"

#include <hornbeam/testsupport/mesh.h>

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <cxxopts.hpp>

#include <iostream>
#include <random>
#include <thread>

using namespace Hornbeam;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::int64_t zones = 3;
constexpr std::int64_t workersPerTarget = 10;
constexpr auto serviceTime = 20ms;
constexpr auto callerTimeout = 500ms;
constexpr auto thinkTime = 200ms;
/** Slots per target that are high enough for admission control never to limit the herd. */
constexpr std::uint32_t unlimitedSlots = 10000;
const std::string path = "/slow?ms=" + std::to_string(serviceTime.count());

struct HerdOptions
{
    int steadyCallers = 100;
    int herdFactor = 20;
    int seconds = 8;
    std::uint64_t seed = 1;
};

/** Requests of one phase, by result. */
struct CallCounts
{
    std::uint64_t good = 0; ///< Complete responses with status 200 within the timeout.
    std::uint64_t refused = 0; ///< Responses with status 503, from the proxy or a target.
    std::uint64_t failed = 0; ///< All other results, including timeouts.
};

/** Simulates callers that send requests in a closed loop for a fixed time. */
class CallerGroup
{
public:
    CallerGroup(Mesh &mesh, std::uint64_t seed)
        : m_mesh(mesh)
        , m_random(seed)
    {
    }

    /** Callers wait for @p pause between requests; with 0 they send the next one at once, like clients that retry. */
    CallCounts run(int callers, std::chrono::milliseconds pause, std::chrono::seconds duration)
    {
        asio::io_context context(1);
        const auto end = Clock::now() + duration;
        m_counts = {};
        for (int i = 0; i < callers; ++i) {
            const auto start = pause > 0ms ? randomUpTo(pause) : 0ms;
            asio::co_spawn(context, call(context, i % m_mesh.nodeCount(), start, pause, end), asio::detached);
        }
        context.run();
        return m_counts;
    }

private:
    std::chrono::milliseconds randomUpTo(std::chrono::milliseconds time)
    {
        std::uniform_int_distribution<int> part(0, static_cast<int>(time.count()));
        return std::chrono::milliseconds(part(m_random));
    }

    asio::awaitable<void> call(asio::io_context &context,
                               int node,
                               std::chrono::milliseconds start,
                               std::chrono::milliseconds pause,
                               Clock::time_point end)
    {
        KeepAliveClient client(context, m_mesh.traffic(node));
        co_await wait(context, start);
        while (Clock::now() < end) {
            const auto response = co_await client.get(path, callerTimeout);
            if (Clock::now() < end) {
                count(response.status);
            }
            // Simulates clients that ignore Retry-After and retry a failed request after at least 50 ms.
            co_await wait(context, response.status == 200 ? pause : std::max(pause, 50ms));
        }
    }

    asio::awaitable<void> wait(asio::io_context &context, std::chrono::milliseconds time)
    {
        asio::steady_timer timer(context, time);
        std::error_code ec;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }

    void count(int status)
    {
        m_counts.good += status == 200 ? 1 : 0;
        m_counts.refused += status == 503 ? 1 : 0;
        m_counts.failed += status != 200 && status != 503 ? 1 : 0;
    }

    Mesh &m_mesh;
    std::mt19937_64 m_random;
    CallCounts m_counts;
};

Json perSecond(const CallCounts &counts, int seconds)
{
    const auto rate = [seconds](std::uint64_t n) {
        return static_cast<double>(n) / seconds;
    };
    return {{"good_per_s", rate(counts.good)},
            {"refused_per_s", rate(counts.refused)},
            {"failed_per_s", rate(counts.failed)}};
}

/** The number of slots sets the admission limit, so a very high number disables the overload protection. */
Json intent(bool isProtected)
{
    Json service = {{"name", "vuorolista"}, {"attemptTimeoutMs", callerTimeout.count()}};
    service["slotsPerTarget"] = isProtected ? 0 : unlimitedSlots;
    const Json route = {
        {"name", "rota"}, {"pathPrefix", "/"}, {"service", "vuorolista"}, {"timeoutMs", callerTimeout.count()}};
    const Json operations = {{{"op", "setService"}, {"service", service}}, {{"op", "setRoute"}, {"route", route}}};
    return {{"operations", operations}};
}

Result<Json> measure(const HerdOptions &options, bool isProtected)
{
    const auto workers = std::to_string(workersPerTarget);
    auto mesh = Mesh::make({.targetArguments = {"--workers", workers, "--slots", workers},
                            .settings = {{"traffic", {{"maxConnections", 4000}, {"slowStartMs", 0}}}},
                            .seed = options.seed});
    if (!mesh) {
        return tl::unexpected(mesh.error());
    }
    const auto version = (*mesh)->apply(0, intent(isProtected));
    if (!version) {
        return tl::unexpected(version.error());
    }
    if (!(*mesh)->waitForVersion(*version, (*mesh)->allNodes(), 10s, path)) {
        return makeError(ErrorCode::Unavailable, "the nodes did not serve the first version");
    }
    CallerGroup group(**mesh, options.seed);
    const std::chrono::seconds duration(options.seconds);
    const auto before = group.run(options.steadyCallers, thinkTime, duration);
    const auto herd = group.run(options.steadyCallers * options.herdFactor, 0ms, duration);
    const auto after = group.run(options.steadyCallers, thinkTime, duration);
    return Json{{"protected", isProtected},
                {"steady_before", perSecond(before, options.seconds)},
                {"herd", perSecond(herd, options.seconds)},
                {"steady_after", perSecond(after, options.seconds)}};
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options parser("herdbench",
                            "Measures goodput during a thundering herd, with and without overload protection.");
    HerdOptions options;
    parser.add_options()("callers", "number of callers at steady load", cxxopts::value(options.steadyCallers));
    parser.add_options()(
        "factor", "size of the herd, as a multiple of the steady callers", cxxopts::value(options.herdFactor));
    parser.add_options()("seconds", "duration of each phase in seconds", cxxopts::value(options.seconds));
    parser.add_options()("seed", "seed of the random choices", cxxopts::value(options.seed));
    parser.add_options()("help", "print this text");
    try {
        if (parser.parse(argc, argv).count("help") != 0) {
            std::cout << parser.help();
            return 0;
        }
    } catch (const std::exception &error) {
        std::cerr << "herdbench: " << error.what() << '\n';
        return 2;
    }
    Json runs = Json::array();
    for (const bool isProtected : {true, false}) {
        const auto run = measure(options, isProtected);
        if (!run) {
            std::cerr << "herdbench: " << run.error().message() << '\n';
            return 1;
        }
        runs.push_back(*run);
    }
    const Json document = {{"seed", options.seed},
                           {"steady_callers", options.steadyCallers},
                           {"herd_factor", options.herdFactor},
                           {"capacity_per_s", (1000ms / serviceTime) * zones * workersPerTarget},
                           {"runs", runs}};
    std::cout << document.dump(2) << std::endl;
    return 0;
}
