#include "rolloutcluster.h"

namespace Hornbeam {

RolloutNode::RolloutNode(RolloutCluster &owner, TimerService &time, const InMemoryStore &shared, int n, int start)
    : cluster(owner)
    , number(n)
    , id("node-" + std::to_string(n) + "-" + std::to_string(start))
    , timers(time)
    , store(executor, shared)
    , gate(static_cast<std::uint64_t>(n) + 1)
    , coordinator(std::move(*RolloutCoordinator::make(
          {.node = id, .limits = {.canarySlack = 50}},
          {.store = store, .timers = timers, .network = *this, .listener = *this, .ledger = ledger, .status = status})))
{
}

void RolloutNode::broadcast(std::string_view message)
{
    for (const auto &node : cluster.nodes) {
        send(node->id, message);
    }
}

void RolloutNode::send(const std::string &node, std::string_view message)
{
    for (const auto &it : cluster.nodes) {
        if (it->id == node && it.get() != this && !it->cut && !cut && !it->killed) {
            it->inbox.emplace_back(id, std::string(message));
        }
    }
}

std::size_t RolloutNode::liveNodes() const
{
    return RolloutCluster::nodeCount;
}

} // namespace Hornbeam
