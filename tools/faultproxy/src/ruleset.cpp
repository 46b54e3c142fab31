#include "ruleset.h"

#include <asio/io_context.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>

namespace Hornbeam {

namespace {

bool containsAll(std::string_view request, const std::vector<std::string> &texts)
{
    return std::all_of(texts.begin(), texts.end(), [&](const std::string &text) {
        return request.find(text) != std::string_view::npos;
    });
}

} // namespace

RuleSet::RuleSet(asio::io_context &context, std::uint64_t seed)
    : m_random(seed)
    , m_changed(context, asio::steady_timer::time_point::max())
{
}

void RuleSet::add(FaultRule rule)
{
    m_rules.push_back(std::move(rule));
    notifyWaiters();
}

void RuleSet::remove(const std::string &id)
{
    std::erase_if(m_rules, [&](const FaultRule &rule) { return rule.id == id; });
    notifyWaiters();
}

void RuleSet::clear()
{
    m_rules.clear();
    notifyWaiters();
}

bool RuleSet::resetsConnections(const Flow &flow) const
{
    return std::any_of(m_rules.begin(), m_rules.end(), [&](const FaultRule &rule) {
        return rule.kind == FaultKind::Cut && rule.protocol != ProtocolFilter::Udp && rule.matches(flow);
    });
}

bool RuleSet::holdsBack(const Flow &flow, FlowDirection direction) const
{
    return std::any_of(m_rules.begin(), m_rules.end(), [&](const FaultRule &rule) {
        return rule.kind == FaultKind::BlackHole && rule.matches(flow, direction, FlowProtocol::Tcp);
    });
}

asio::awaitable<void> RuleSet::waitForChange()
{
    std::error_code ec;
    co_await m_changed.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

std::chrono::microseconds RuleSet::streamDelay(const Flow &flow, FlowDirection direction)
{
    std::chrono::microseconds total{0};
    for (const auto &rule : m_rules) {
        if (rule.kind == FaultKind::Delay && rule.matches(flow, direction, FlowProtocol::Tcp)) {
            total += randomDelay(rule);
        }
    }
    return total;
}

DatagramDecision RuleSet::decideDatagram(const Flow &flow)
{
    DatagramDecision decision;
    for (const auto &rule : m_rules) {
        if (!rule.matches(flow, FlowDirection::Forward, FlowProtocol::Udp)) {
            continue;
        }
        switch (rule.kind) {
        case FaultKind::Cut:
        case FaultKind::BlackHole:
            decision.copies = 0;
            break;
        case FaultKind::Loss:
            decision.copies = drawWithProbability(rule.probability) ? 0 : decision.copies;
            break;
        case FaultKind::Duplicate:
            decision.copies *= drawWithProbability(rule.probability) ? 2 : 1;
            break;
        case FaultKind::Reorder:
            decision.delay += drawWithProbability(rule.probability) ? rule.delay : std::chrono::microseconds(0);
            break;
        case FaultKind::Delay:
            decision.delay += randomDelay(rule);
            break;
        case FaultKind::Silent:
        case FaultKind::DropResponse:
            break;
        }
    }
    return decision;
}

std::optional<AfterDrop> RuleSet::consumeResponseDrop(const Flow &flow, std::string_view request)
{
    for (auto it = m_rules.begin(); it != m_rules.end(); ++it) {
        const bool applies = it->kind == FaultKind::DropResponse && it->matches(flow);
        if (!applies || request.empty() || !containsAll(request, it->requestContains)) {
            continue;
        }
        const auto afterDrop = it->afterDrop;
        if (it->count > 0 && --it->count == 0) {
            m_rules.erase(it);
        }
        return afterDrop;
    }
    return std::nullopt;
}

std::chrono::microseconds RuleSet::randomDelay(const FaultRule &rule)
{
    std::uniform_int_distribution<std::chrono::microseconds::rep> jitter(0, rule.jitter.count());
    return rule.delay + std::chrono::microseconds(jitter(m_random));
}

bool RuleSet::drawWithProbability(double probability)
{
    return std::bernoulli_distribution(probability)(m_random);
}

void RuleSet::notifyWaiters()
{
    m_changed.cancel();
}

} // namespace Hornbeam
