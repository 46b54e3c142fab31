#pragma once

#include "ruleset.h"
#include "statistics.h"

#include <asio/io_context.hpp>

namespace Hornbeam {

/** What the links of one proxy share. It outlives them; everything runs on the thread of the context. */
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
