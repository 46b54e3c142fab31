#pragma once

#include "link.h"
#include "proxycontext.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <string>

namespace Hornbeam {

/**
 * Forwards TCP and UDP traffic between the processes of a test and injects faults. Each link forwards what arrives at
 * one listening address to one process; rules determine which faults apply to which links and sources. Control requests
 * add links, and add and remove rules.
 */
class FaultProxy
{
public:
    /** @p seed is the seed of the random generator for the probabilities and the jitter of the rules. */
    FaultProxy(asio::io_context &io, std::uint64_t seed);
    ~FaultProxy();

    /**
     * Applies a control request: {"clear": bool, "remove": [rule ids], "links": [links], "rules": [rules]}, in this
     * order; all members are optional. "clear" removes all rules, while links stay. Returns true, or an error:
     * InvalidArgument for a malformed request, which changes nothing, and Unavailable when a link cannot be bound or
     * its name is in use. In that case "clear", "remove" and the links before that one have been applied, but no rules.
     */
    Result<bool> control(const nlohmann::json &request);

    /** Returns the links, the number of rules and the traffic counters since the process started. */
    nlohmann::json statusJson() const;

private:
    Result<bool> addLink(const LinkOptions &options);
    void addRule(const FaultRule &rule);

    ProxyContext m_context;
    std::map<std::string, std::shared_ptr<Link>> m_links;
};

} // namespace Hornbeam
