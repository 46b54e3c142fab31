#pragma once

#include <hornbeam/base/executor.h>

#include <cstddef>
#include <deque>
#include <mutex>

namespace Hornbeam {

/** An executor for tests: work runs when run() is called. A process that is paused is one whose run() is not called. */
class ManualExecutor : public Executor
{
public:
    void post(std::function<void()> work) override;

    /** Runs queued work, including work queued meanwhile, until nothing is left. Returns the number of functions run.
     */
    std::size_t run();

private:
    std::mutex m_mutex;
    std::deque<std::function<void()>> m_queue;
};

} // namespace Hornbeam
