#pragma once

#include <functional>

namespace Hornbeam {

/** Runs functions sequentially on a thread that the implementation chooses. */
class Executor
{
public:
    virtual ~Executor() = default;

    /** Queues @p work; never runs it before post() returns. May be called from any thread. */
    virtual void post(std::function<void()> work) = 0;
};

} // namespace Hornbeam
