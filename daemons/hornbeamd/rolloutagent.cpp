#include "rolloutagent.h"

#include <hornbeam/base/metrics.h>
#include <hornbeam/membership/failuredetector.h>
#include <hornbeam/membership/membershiptable.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace Hornbeam {

namespace {

/** Nodes that may decide roll-outs; more would only poll the lease. */
constexpr std::size_t candidates = 3;

nlohmann::json toJson(const RolloutStep &step)
{
    return nlohmann::json::parse(step.encode());
}

nlohmann::json toJson(const VersionRule &rule)
{
    return {{"service", rule.service},
            {"stable", rule.stableVersion},
            {"fresh", rule.freshVersion},
            {"share", rule.sharePerMille}};
}

} // namespace

Result<std::unique_ptr<RolloutAgent>> RolloutAgent::make(RolloutAgentOptions options,
                                                         RolloutAgentDependencies dependencies)
{
    std::unique_ptr<RolloutAgent> agent(new RolloutAgent(std::move(options), dependencies));
    RolloutNetwork &network = *agent;
    RolloutListener &listener = *agent;
    auto coordinator = RolloutCoordinator::make({.node = agent->m_options.node, .limits = agent->m_options.limits},
                                                {.store = dependencies.store,
                                                 .timers = dependencies.timers,
                                                 .network = network,
                                                 .listener = listener,
                                                 .ledger = agent->m_ledger,
                                                 .status = dependencies.status});
    if (!coordinator) {
        return tl::unexpected(coordinator.error());
    }
    agent->m_coordinator = std::move(*coordinator);
    return agent;
}

RolloutAgent::RolloutAgent(RolloutAgentOptions options, RolloutAgentDependencies dependencies)
    : m_options(std::move(options))
    , m_dependencies(dependencies)
{
}

void RolloutAgent::start(std::function<void()> changed)
{
    m_changed = std::move(changed);
    m_dependencies.detector.subscribePayloads([this](const Payload &payload) {
        if (payload.kind == PayloadKind::Rollouts) {
            m_coordinator->receive(payload.sender, payload.content);
        }
    });
}

void RolloutAgent::load(std::function<void()> loaded)
{
    m_loaded = std::move(loaded);
    m_coordinator->start();
}

void RolloutAgent::stop()
{
    m_coordinator->stop();
}

void RolloutAgent::ordered(const RolloutOrder &order)
{
    m_coordinator->setOrder(order);
}

void RolloutAgent::orderRefused(const std::string &key, const Error &error)
{
    m_log.warning("order of a roll-out rejected", {{"key", key}, {"error", error.message()}});
}

void RolloutAgent::setTargets(const std::vector<Target> &targets)
{
    std::map<std::pair<std::string, std::string>, RunningVersion> versions;
    for (const auto &target : targets) {
        if (target.version.empty()) {
            continue;
        }
        auto &version = versions[{target.service, target.version}];
        const bool first = version.service.empty();
        version.firstInstance = first ? target.instance : std::min(version.firstInstance, target.instance);
        version.service = target.service;
        version.version = target.version;
        version.serving = version.serving || target.state == TargetState::Serving;
    }
    std::vector<RunningVersion> list;
    list.reserve(versions.size());
    for (auto &[key, version] : versions) {
        list.push_back(std::move(version));
    }
    m_coordinator->setVersions(std::move(list));
}

std::vector<VersionRule> RolloutAgent::rules() const
{
    return m_coordinator->rules();
}

std::string RolloutAgent::dumpJson() const
{
    auto steps = nlohmann::json::array();
    for (const auto &step : m_coordinator->steps()) {
        steps.push_back(toJson(step));
    }
    auto rules = nlohmann::json::array();
    for (const auto &rule : m_coordinator->rules()) {
        rules.push_back(toJson(rule));
    }
    return nlohmann::json{
        {"decider", m_coordinator->isDecider()}, {"steps", std::move(steps)}, {"rules", std::move(rules)}}
        .dump();
}

void RolloutAgent::broadcast(std::string_view message)
{
    const auto members = m_dependencies.members.liveMembers();
    for (const auto &listed : *members) {
        if (listed.member->id != m_options.node) {
            send(listed.member->id, message);
        }
    }
}

void RolloutAgent::send(const std::string &node, std::string_view message)
{
    m_dependencies.detector.sendPayload(node, PayloadKind::Rollouts, std::string(message));
}

std::size_t RolloutAgent::liveNodes() const
{
    return m_dependencies.members.liveMembers()->size();
}

bool RolloutAgent::isCandidate() const
{
    // Every node sees the members in the same order, so the same few are candidates.
    std::size_t position = 0;
    const auto members = m_dependencies.members.liveMembers();
    for (const auto &listed : *members) {
        if (listed.member->id == m_options.node) {
            return true;
        }
        position += listed.member->state == MemberState::Alive ? 1 : 0;
        if (position >= candidates) {
            return false;
        }
    }
    return false;
}

void RolloutAgent::rulesChanged()
{
    if (m_changed) {
        m_changed();
    }
}

void RolloutAgent::stepChanged(const RolloutStep &step, bool decider)
{
    m_log.info("roll-out step",
               {{"service", step.service},
                {"version", step.version},
                {"stable", step.stableVersion},
                {"phase", rolloutPhaseName(step.phase)},
                {"sharePerMille", std::to_string(step.sharePerMille)},
                {"elapsedMs", std::to_string(step.elapsed.count())},
                {"step", std::to_string(step.fence) + "." + std::to_string(step.number)},
                {"reason", step.reason},
                {"decider", decider ? "yes" : "no"}});
    m_dependencies.metrics
        .gauge("hornbeam_rollout_share_per_mille",
               "Planned share of the requests of a service that goes to its new version.",
               {{"service", step.service}})
        .set(step.phase == RolloutPhase::Completed ? 1000 : step.sharePerMille);
    if (decider) {
        m_dependencies.metrics
            .counter("hornbeam_rollout_steps_total",
                     "Steps of roll-outs that this node has decided.",
                     {{"phase", rolloutPhaseName(step.phase)}})
            .add();
    }
}

void RolloutAgent::rulesReady()
{
    m_log.info("versions in use known", {{"steps", std::to_string(m_coordinator->steps().size())}});
    m_isLoaded = true;
    m_loaded();
}

void RolloutAgent::decidesRollouts(bool decider)
{
    m_log.info(decider ? "this node decides the roll-outs" : "this node no longer decides the roll-outs");
    m_dependencies.metrics.gauge("hornbeam_rollout_decider", "Whether this node decides the roll-outs.")
        .set(decider ? 1 : 0);
}

} // namespace Hornbeam
