#pragma once

#include <chrono>
#include <functional>

namespace Hornbeam {

/**
 * Polls @p condition until it holds or @p timeout has expired; returns whether it held.
 * Tests use this instead of a fixed sleep, which is either too short on a busy machine or longer than needed.
 */
bool waitUntil(std::chrono::milliseconds timeout, const std::function<bool()> &condition);

/** Measures the time since its construction. */
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
