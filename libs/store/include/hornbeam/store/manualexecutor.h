#pragma once

#include <hornbeam/base/executor.h>

#include <cstddef>
#include <deque>
#include <mutex>

namespace Hornbeam {

/** An executor for tests that runs its queue only in run(). Not calling run() models a paused process. */
class ManualExecutor : public Executor
{
public:
    void post(std::function<void()> work) override;

    /** Runs queued work, including work that it queues, until the queue is empty. Returns the number of functions. */
    std::size_t run();

private:
    std::mutex m_mutex;
    std::deque<std::function<void()>> m_queue;
};

} // namespace Hornbeam
