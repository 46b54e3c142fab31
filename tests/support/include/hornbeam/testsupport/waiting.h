#pragma once

#include <chrono>
#include <functional>

namespace Hornbeam {

/**
 * Polls @p condition until it holds or @p timeout has passed; returns whether it held.
 * Tests wait with this instead of a fixed time, which is either too short on a busy machine or too long.
 */
bool waitUntil(std::chrono::milliseconds timeout, const std::function<bool()> &condition);

/** Time since an object was created. */
class Stopwatch
{
public:
    std::chrono::milliseconds elapsed() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - m_start);
    }

private:
    std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
};

} // namespace Hornbeam
