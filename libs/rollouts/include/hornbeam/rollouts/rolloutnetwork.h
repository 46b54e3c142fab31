#pragma once

#include <hornbeam/rollouts/rolloutstep.h>
#include <hornbeam/rollouts/versionrule.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hornbeam {

/** Sends the messages of roll-outs between nodes. Messages can be lost, repeated and reordered. Control thread only. */
class RolloutNetwork
{
public:
    virtual ~RolloutNetwork() = default;

    /** Sends a message to all live nodes except this one. */
    virtual void broadcast(std::string_view message) = 0;

    /** Sends a message to one node, named by its id; dropped if the node is not known. */
    virtual void send(const std::string &node, std::string_view message) = 0;

    /** Number of live nodes, this one included. */
    virtual std::size_t liveNodes() const = 0;

    /** Whether this node is one of the few that may decide roll-outs. */
    virtual bool isCandidate() const = 0;
};

/** A key of the store with its new value. */
struct StatusEntry
{
    std::string key;
    std::string value;
};

/** Encodes the state of a roll-out for the operators, who read it from the store. */
class RolloutStatusEncoder
{
public:
    virtual ~RolloutStatusEncoder() = default;

    /** The entry for the state after @p step. It is written when its value differs from that of the step before. */
    virtual StatusEntry statusOf(const RolloutStep &step) const = 0;
};

/** Told of changes that this node acts upon. Control thread only. */
class RolloutListener
{
public:
    virtual ~RolloutListener() = default;

    /** rules() of the coordinator has changed. */
    virtual void rulesChanged() = 0;

    /** A newer step of a roll-out is known. @p decider: this node has decided it. */
    virtual void stepChanged(const RolloutStep &step, bool decider) = 0;

    virtual void decidesRollouts(bool decider) = 0;

    /**
     * Called once after the start, when the steps in the store are known, or when the store has not answered in time.
     * Before that, rules() can name a version that is not in use.
     */
    virtual void rulesReady() = 0;
};

} // namespace Hornbeam
