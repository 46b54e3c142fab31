#include "faultrule.h"

#include <nlohmann/json.hpp>

#include <map>

namespace Hornbeam {

namespace {

using Json = nlohmann::json;

const std::map<std::string, FaultKind> kindNames = {
    {"cut", FaultKind::Cut},
    {"silent", FaultKind::Silent},
    {"blackHole", FaultKind::BlackHole},
    {"delay", FaultKind::Delay},
    {"loss", FaultKind::Loss},
    {"duplicate", FaultKind::Duplicate},
    {"reorder", FaultKind::Reorder},
    {"dropResponse", FaultKind::DropResponse},
};

const std::map<std::string, DirectionFilter> directionNames = {
    {"both", DirectionFilter::Both},
    {"forward", DirectionFilter::Forward},
    {"backward", DirectionFilter::Backward},
};

const std::map<std::string, ProtocolFilter> protocolNames = {
    {"any", ProtocolFilter::Any},
    {"tcp", ProtocolFilter::Tcp},
    {"udp", ProtocolFilter::Udp},
};

const std::map<std::string, AfterDrop> afterDropNames = {
    {"reset", AfterDrop::Reset},
    {"silence", AfterDrop::Silence},
};

/** Reads members of a JSON object and keeps the first error. */
class MemberReader
{
public:
    explicit MemberReader(const Json &object)
        : m_object(object)
    {
    }

    template <typename Value>
    void choice(const char *name, const std::map<std::string, Value> &names, Value &value)
    {
        std::string text;
        if (!read(name, text)) {
            return;
        }
        const auto it = names.find(text);
        if (it == names.end()) {
            fail(std::string(name) + " \"" + text + "\" is not a known value");
            return;
        }
        value = it->second;
    }

    template <typename Value>
    bool read(const char *name, Value &value)
    {
        const auto it = m_object.find(name);
        if (it == m_object.end()) {
            return false;
        }
        m_read.insert(name);
        try {
            it->get_to(value);
            return true;
        } catch (const Json::exception &) {
            fail(std::string(name) + " has the wrong type");
            return false;
        }
    }

    void duration(const char *name, std::chrono::microseconds &value)
    {
        double milliseconds = 0;
        if (!read(name, milliseconds)) {
            return;
        }
        if (milliseconds < 0) {
            fail(std::string(name) + " is negative");
            return;
        }
        value = std::chrono::microseconds(static_cast<std::int64_t>(milliseconds * 1000));
    }

    void checkUnknownMembers()
    {
        for (const auto &[name, value] : m_object.items()) {
            if (!m_read.contains(name)) {
                fail("unknown member \"" + name + "\"");
            }
        }
    }

    void fail(const std::string &problem)
    {
        if (m_problem.empty()) {
            m_problem = problem;
        }
    }

    const std::string &problem() const
    {
        return m_problem;
    }

private:
    const Json &m_object;
    std::set<std::string> m_read;
    std::string m_problem;
};

bool includes(DirectionFilter filter, FlowDirection direction)
{
    switch (filter) {
    case DirectionFilter::Both:
        return true;
    case DirectionFilter::Forward:
        return direction == FlowDirection::Forward;
    case DirectionFilter::Backward:
        return direction == FlowDirection::Backward;
    }
    return false;
}

bool includes(ProtocolFilter filter, FlowProtocol protocol)
{
    switch (filter) {
    case ProtocolFilter::Any:
        return true;
    case ProtocolFilter::Tcp:
        return protocol == FlowProtocol::Tcp;
    case ProtocolFilter::Udp:
        return protocol == FlowProtocol::Udp;
    }
    return false;
}

} // namespace

bool FaultRule::matches(const Flow &flow) const
{
    const bool sourceMatches = sources.empty() || sources.contains(flow.source);
    const bool linkMatches = links.empty() || links.contains(flow.link);
    return sourceMatches && linkMatches;
}

bool FaultRule::matches(const Flow &flow, FlowDirection flowDirection, FlowProtocol flowProtocol) const
{
    return matches(flow) && includes(direction, flowDirection) && includes(protocol, flowProtocol);
}

Result<FaultRule> parseFaultRule(const Json &value)
{
    if (!value.is_object()) {
        return makeError(ErrorCode::InvalidArgument, "rule is not a JSON object");
    }
    FaultRule rule;
    MemberReader reader(value);
    if (!value.contains("kind")) {
        reader.fail("kind is missing");
    }
    reader.choice("kind", kindNames, rule.kind);
    reader.choice("direction", directionNames, rule.direction);
    reader.choice("protocol", protocolNames, rule.protocol);
    reader.choice("afterDrop", afterDropNames, rule.afterDrop);
    reader.read("id", rule.id);
    reader.read("sources", rule.sources);
    reader.read("links", rule.links);
    reader.read("probability", rule.probability);
    reader.read("count", rule.count);
    reader.read("requestContains", rule.requestContains);
    reader.duration("delayMs", rule.delay);
    reader.duration("jitterMs", rule.jitter);
    if (!(rule.probability >= 0 && rule.probability <= 1)) {
        reader.fail("probability is not between 0 and 1");
    }
    reader.checkUnknownMembers();
    if (!reader.problem().empty()) {
        return makeError(ErrorCode::InvalidArgument, reader.problem());
    }
    return rule;
}

} // namespace Hornbeam
