#pragma once

#include "ruleset.h"
#include "statistics.h"

#include <asio/io_context.hpp>

namespace Hornbeam {

/** State that all links of a proxy share. Must outlive the links. Used only on the thread that runs `io`. */
struct ProxyContext
{
    ProxyContext(asio::io_context &ioContext, std::uint64_t seed)
        : io(ioContext)
        , rules(ioContext, seed)
    {
    }

    asio::io_context &io;
    RuleSet rules;
    Statistics statistics;
};

} // namespace Hornbeam
