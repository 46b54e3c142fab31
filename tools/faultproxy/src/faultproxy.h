#pragma once

#include "link.h"
#include "proxycontext.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <string>

namespace Hornbeam {

/** Owns the links of the proxy process and applies control requests to them. */
class FaultProxy
{
public:
    FaultProxy(asio::io_context &io, std::uint64_t seed);
    ~FaultProxy();

    /**
     * Applies a control request: {"clear": bool, "remove": [rule ids], "links": [links], "rules": [rules]}, in this
     * order. Returns InvalidArgument for a malformed request, which changes nothing. Returns Unavailable when a link
     * cannot be bound or its name is in use; the members before that link have been applied then.
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
