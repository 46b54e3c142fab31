#pragma once

#include <hornbeam/base/faketimerservice.h>
#include <hornbeam/rollouts/rolloutcoordinator.h>
#include <hornbeam/rollouts/versiongate.h>
#include <hornbeam/store/inmemorystore.h>
#include <hornbeam/store/manualexecutor.h>
#include <hornbeam/store/pausabletimerservice.h>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Hornbeam {

/** Writes the state and the version as words. */
class TestStatus : public RolloutStatusEncoder
{
public:
    StatusEntry statusOf(const RolloutStep &step) const override
    {
        const char *state = step.phase == RolloutPhase::Completed ? "completed"
            : step.phase == RolloutPhase::RolledBack              ? "rolled_back"
                                                                  : "running";
        return {.key = "status/" + step.service, .value = state + (" " + step.version)};
    }
};

class RolloutCluster;

/** One node with its own executor, timers and store handle: it can be paused and disconnected on its own. */
class RolloutNode : public RolloutNetwork, public RolloutListener
{
public:
    RolloutNode(RolloutCluster &cluster, TimerService &time, const InMemoryStore &shared, int number, int start);

    void broadcast(std::string_view message) override;
    void send(const std::string &node, std::string_view message) override;

    std::size_t liveNodes() const override;

    bool isCandidate() const override
    {
        return number < 3;
    }

    void rulesChanged() override
    {
        gate.setRules(coordinator->rules());
    }

    void stepChanged(const RolloutStep &, bool) override {}
    void decidesRollouts(bool) override {}

    void rulesReady() override
    {
        ready = true;
    }

    void order(const RolloutOrder &order)
    {
        coordinator->setOrder(order);
        rulesChanged();
    }

    /** The node learns of the targets of these versions; they started in the order of the versions' names. */
    void hear(const std::set<std::string> &versions)
    {
        known = versions;
        std::vector<RunningVersion> running;
        for (const auto &it : versions) {
            const auto instance = static_cast<std::uint64_t>(it.back() - '0');
            for (const auto *service : {"menu", "orders"}) {
                running.push_back({.service = service, .version = it, .firstInstance = instance, .serving = true});
            }
        }
        coordinator->setVersions(std::move(running));
        rulesChanged();
    }

    void kill()
    {
        killed = true;
        timers.pause();
    }

    void pause()
    {
        paused = true;
        timers.pause();
    }

    void resume()
    {
        paused = false;
        timers.resume();
    }

    RolloutCluster &cluster;
    const int number;
    const std::string id;
    ManualExecutor executor;
    PausableTimerService timers;
    InMemoryStore store;
    TestStatus status;
    OutcomeLedger ledger;
    VersionGate gate;
    std::unique_ptr<RolloutCoordinator> coordinator;
    std::deque<std::pair<std::string, std::string>> inbox;
    std::set<std::string> known; ///< Versions whose targets the node knows.
    bool ready = false; ///< Serves requests.
    bool paused = false;
    bool killed = false;
    bool cut = false; ///< From the other nodes; the store can be reached.
};

/**
 * Eight nodes, each with one target of the stable and one of the new version, and a constant rate of requests. They
 * have run for long enough to record the version in use.
 */
class RolloutCluster
{
public:
    static constexpr Duration step = std::chrono::milliseconds(20);
    static constexpr int nodeCount = 8;
    static constexpr int requestsPerStep = 2; ///< Of each node; 800 a second in all.
    static constexpr const char *stepKey = "hornbeamring/rollouts/menu";

    RolloutCluster()
    {
        startNodes();
        hear({"v1", "v2", "v3"});
        pass(VersionInUse::settlingTime + std::chrono::seconds(3));
        fresh = 0;
        requests = 0;
    }

    void order(const std::string &version, std::int64_t revision)
    {
        while (shared.revision() < revision) {
            change(Operation::put("op/rollout/menu", version));
        }
        m_ordered = time.now();
        m_order = {.service = "menu", .version = version, .duration = std::chrono::seconds(15), .revision = revision};
        for (const auto &node : nodes) {
            node->order(m_order);
        }
    }

    void hear(const std::set<std::string> &versions)
    {
        for (const auto &node : nodes) {
            node->hear(versions);
        }
    }

    void killAll()
    {
        for (auto &node : nodes) {
            node->kill();
            m_killed.push_back(std::move(node));
        }
        nodes.clear();
    }

    /** Starts new processes on all hosts. They read the order, and know no targets yet. */
    void startNodes()
    {
        for (int i = 0; i < nodeCount; ++i) {
            nodes.push_back(startNode(i));
        }
    }

    /** Restarts one node, which learns of the same targets again. */
    void restart(std::size_t number)
    {
        auto &node = nodes[number];
        const auto known = node->known;
        node->kill();
        m_killed.push_back(std::move(node));
        node = startNode(static_cast<int>(number));
        node->hear(known);
    }

    void store(const RolloutStep &stored)
    {
        change(Operation::put(stepKey, stored.encode()));
    }

    void removeRecord()
    {
        change(Operation::remove(stepKey));
    }

    void pass(Duration duration)
    {
        for (Duration passed{0}; passed < duration; passed += step) {
            time.advance(step);
            for (const auto &node : nodes) {
                if (node->paused || node->killed) {
                    continue;
                }
                deliver(*node);
                node->executor.run();
                if (node->ready) {
                    serve(*node);
                }
            }
        }
    }

    RolloutNode *decider()
    {
        for (const auto &node : nodes) {
            if (!node->paused && !node->killed && node->coordinator->isDecider()) {
                return node.get();
            }
        }
        return nullptr;
    }

    void setFaults(const InMemoryStoreFaults &faults)
    {
        m_faults = faults;
        for (const auto &node : nodes) {
            node->store.setFaults(faults);
        }
    }

    std::string status()
    {
        std::string value;
        shared.range({.key = "status/menu"}, [&](const Result<RangeResult> &result) {
            value = result && !result->entries.empty() ? result->entries.front().value : "";
        });
        idle.run();
        return value;
    }

    /** The step in the store; a default one without any. */
    RolloutStep storedStep()
    {
        RolloutStep stored;
        shared.range({.key = stepKey}, [&](const Result<RangeResult> &result) {
            if (result && !result->entries.empty()) {
                stored = RolloutStep::decode(result->entries.front().value).value_or(RolloutStep());
            }
        });
        idle.run();
        return stored;
    }

    Duration sinceOrder() const
    {
        return time.now() - m_ordered;
    }

    FakeTimerService time;
    ManualExecutor idle;
    InMemoryStore shared{idle, time};
    std::vector<std::unique_ptr<RolloutNode>> nodes;
    bool bad = false; ///< The new version fails every other request.
    int requests = 0;
    int fresh = 0; ///< Requests to a version other than the first.
    std::map<std::string, int> served; ///< Requests by version.
    int badResponses = 0;
    TimePoint fiftiethBad = TimePoint::max();
    TimePoint lastFresh = TimePoint::min();

private:
    std::unique_ptr<RolloutNode> startNode(int number)
    {
        auto node = std::make_unique<RolloutNode>(*this, time, shared, number, ++m_starts);
        node->store.setFaults(m_faults);
        node->coordinator->start();
        if (m_order.revision > 0) {
            node->order(m_order);
        }
        return node;
    }

    void change(Operation operation)
    {
        Transaction transaction;
        transaction.success.push_back(std::move(operation));
        shared.commit(std::move(transaction), [](const Result<TransactionResult> &) {});
        idle.run();
    }

    void deliver(RolloutNode &node)
    {
        for (std::deque<std::pair<std::string, std::string>> messages = std::move(node.inbox); !messages.empty();
             messages.pop_front()) {
            node.coordinator->receive(messages.front().first, messages.front().second);
        }
        node.inbox.clear();
    }

    void serve(RolloutNode &node)
    {
        for (int i = 0; i < requestsPerStep; ++i) {
            const auto track = node.gate.next("menu");
            std::string version;
            for (const auto &it : node.known) {
                version = node.gate.trackOf("menu", it) == track ? it : version;
            }
            if (version.empty()) {
                continue;
            }
            const bool isFresh = version != "v1";
            const bool failed = isFresh && bad && ++m_counter % 2 == 0;
            node.gate.sent("menu", track);
            node.gate.responded("menu", track, failed);
            node.ledger.record("menu", version, "browse", failed, std::chrono::milliseconds(100));
            ++requests;
            ++served[version];
            if (isFresh) {
                ++fresh;
                lastFresh = time.now();
                if (failed && ++badResponses == 50) {
                    fiftiethBad = time.now();
                }
            }
        }
    }

    TimePoint m_ordered;
    RolloutOrder m_order;
    InMemoryStoreFaults m_faults;
    std::vector<std::unique_ptr<RolloutNode>> m_killed; ///< The store may still call back to them.
    int m_starts = 0;
    int m_counter = 0;
};

} // namespace Hornbeam
