#pragma once

#include "link.h"
#include "proxycontext.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <string>

namespace Hornbeam {

/** The links of the process and the control over them. */
class FaultProxy
{
public:
    FaultProxy(asio::io_context &io, std::uint64_t seed);
    ~FaultProxy();

    /**
     * Applies a control request: {"clear": bool, "remove": [ids], "links": [links], "rules": [rules]}, in this order.
     * InvalidArgument for a malformed request, which changes nothing; Unavailable when a link cannot be bound.
     */
    Result<bool> control(const nlohmann::json &request);

    /** Links, rules and what passed through since the start. */
    nlohmann::json statusJson() const;

private:
    Result<bool> addLink(const LinkOptions &options);
    void addRule(const FaultRule &rule);

    ProxyContext m_context;
    std::map<std::string, std::shared_ptr<Link>> m_links;
};

} // namespace Hornbeam
