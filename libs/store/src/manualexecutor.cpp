#include <hornbeam/store/manualexecutor.h>

#include <utility>

namespace Hornbeam {

void ManualExecutor::post(std::function<void()> work)
{
    const std::lock_guard lock(m_mutex);
    m_queue.push_back(std::move(work));
}

std::size_t ManualExecutor::run()
{
    std::size_t count = 0;
    while (true) {
        std::function<void()> work;
        {
            const std::lock_guard lock(m_mutex);
            if (m_queue.empty()) {
                return count;
            }
            work = std::move(m_queue.front());
            m_queue.pop_front();
        }
        work();
        ++count;
    }
}

} // namespace Hornbeam
