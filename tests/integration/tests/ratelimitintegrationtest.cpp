#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

#include "meshtest.h"

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;

constexpr double ratePerSecond = 40;
constexpr double burst = 20;

/** The users' terms: in any window of 5 s, at most (rate * 5 + burst) * 1.1 + 20 requests over all nodes. */
constexpr auto window = 5s;
constexpr std::size_t mostInWindow = 262;

/** Requests of one account through all nodes, at about 240 a second, from one thread for each node. */
class AccountLoad
{
public:
    AccountLoad(const Mesh &mesh, const std::vector<int> &nodes)
        : m_mesh(mesh)
    {
        for (const int node : nodes) {
            m_threads.emplace_back([this, node] { send(node); });
        }
    }

    ~AccountLoad()
    {
        stop();
    }

    void stop()
    {
        m_stop = true;
        for (auto &it : m_threads) {
            it.join();
        }
        m_threads.clear();
    }

    std::size_t served()
    {
        const std::lock_guard lock(m_mutex);
        return m_served.size();
    }

    std::size_t limited()
    {
        const std::lock_guard lock(m_mutex);
        return m_limited;
    }

    /** Largest number of requests served in any 5 s. Call it after stop(). */
    std::size_t largestWindow()
    {
        std::sort(m_served.begin(), m_served.end());
        std::size_t largest = 0;
        std::size_t first = 0;
        for (std::size_t i = 0; i < m_served.size(); ++i) {
            while (m_served[i] - m_served[first] >= window) {
                ++first;
            }
            largest = std::max(largest, i - first + 1);
        }
        return largest;
    }

private:
    void send(int node)
    {
        auto next = Clock::now();
        while (!m_stop) {
            next = std::max(next + 25ms, Clock::now());
            std::this_thread::sleep_until(next);
            const auto sent = Clock::now();
            const auto response = m_mesh.call(
                node, {.url = "/rota/today", .headers = {"X-Hornbeam-Key: key-of-north"}, .timeout = 1000ms});
            const std::lock_guard lock(m_mutex);
            if (response && response->status == 200) {
                m_served.push_back(sent);
            } else if (response && response->status == 429) {
                ++m_limited;
            }
        }
    }

    const Mesh &m_mesh;
    std::atomic<bool> m_stop = false;
    std::mutex m_mutex;
    std::vector<Clock::time_point> m_served;
    std::size_t m_limited = 0;
    std::vector<std::thread> m_threads;
};

class RateLimitMeshTest : public MeshTest
{
protected:
    void setup() override
    {
        startMesh({.zones = {"tampere", "turku", "helsinki"}, .nodesPerZone = 2});
        const nlohmann::json account = {
            {"name", "north"}, {"keys", {"key-of-north"}}, {"ratePerSecond", ratePerSecond}, {"burst", burst}};
        const auto limited = require(
            mesh->apply(0, {{"operations", nlohmann::json::array({{{"op", "setAccount"}, {"account", account}}})}}));
        CHECK(waitUntil(waitTimeout, [&] {
            const auto nodes = mesh->allNodes();
            return std::all_of(nodes.begin(), nodes.end(), [&](int node) {
                return metric(node, "hornbeam_config_version") >= static_cast<double>(limited);
            });
        }));
    }

    double metric(int node, const std::string &name) const
    {
        const auto response = mesh->callAdmin(node, {.url = "/metrics"});
        const auto at = response ? response->body.find("\n" + name + " ") : std::string::npos;
        return at == std::string::npos ? -1 : std::stod(response->body.substr(at + name.size() + 2));
    }

    /** The node that limits the account for the zone; -1 if there is none. */
    int coordinatorIn(const std::string &zone) const
    {
        for (const int node : mesh->nodesIn(zone)) {
            if (metric(node, "hornbeam_ratelimit_limited_accounts") > 0) {
                return node;
            }
        }
        return -1;
    }

    /** Lets the load run until as many requests were served as the limit permits in this time. */
    bool runFor(AccountLoad &load, std::chrono::seconds time)
    {
        const auto goal =
            load.served() + static_cast<std::size_t>(ratePerSecond * static_cast<double>(time.count()) * 0.8);
        return waitUntil(4 * time, [&] { return load.served() >= goal; });
    }

    void checkWindows(AccountLoad &load)
    {
        load.stop();
        CHECK(load.limited() > 0);
        const auto largest = load.largestWindow();
        CHECK_TEXT(largest <= mostInWindow, (std::to_string(largest) + " requests were served in 5 s").c_str());
    }
};

} // namespace

TEST_GROUP_BASE(RateLimitMesh, RateLimitMeshTest){};

// Guards against a limit that each node applies for itself, which would admit all 240 requests a second.
TEST(RateLimitMesh, limitHoldsOverAllNodesAndIsReached)
{
    const auto start = Clock::now();
    AccountLoad load(*mesh, mesh->allNodes());
    CHECK(runFor(load, 8s));
    const auto served = static_cast<double>(load.served());
    const double passed = std::chrono::duration<double>(Clock::now() - start).count();
    CHECK_TEXT(served >= 0.95 * ratePerSecond * passed,
               (std::to_string(served) + " requests were served in " + std::to_string(passed) + " s").c_str());
    checkWindows(load);
}

// Guards against a fresh bucket at the next coordinator, and against nodes that wait for the one that was killed.
TEST(RateLimitMesh, limitHoldsWhileACoordinatorIsKilled)
{
    AccountLoad load(*mesh, mesh->allNodes());
    CHECK(runFor(load, 3s));
    const int coordinator = coordinatorIn("turku");
    CHECK(coordinator >= 0);
    mesh->processes().kill(Mesh::nodeName(coordinator));
    CHECK(runFor(load, 6s));
    checkWindows(load);
}

// Guards against two halves that both spend the complete limit.
TEST(RateLimitMesh, limitHoldsWhileAZoneIsPartitionedAndReturns)
{
    AccountLoad load(*mesh, mesh->allNodes());
    CHECK(runFor(load, 3s));
    CHECK(mesh->partitionZone("helsinki", false));
    CHECK(runFor(load, 6s));
    CHECK(mesh->clearRules());
    CHECK(runFor(load, 4s));
    checkWindows(load);
}

// Guards against a burst at each node that starts.
TEST(RateLimitMesh, limitHoldsWhileHalfOfTheNodesRestart)
{
    AccountLoad load(*mesh, mesh->allNodes());
    CHECK(runFor(load, 3s));
    for (const int node : {0, 2, 4}) {
        mesh->processes().kill(Mesh::nodeName(node));
        require(mesh->startNode(node));
    }
    CHECK(runFor(load, 6s));
    checkWindows(load);
}
