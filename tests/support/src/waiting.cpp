#include <hornbeam/testsupport/waiting.h>

#include <thread>

namespace Hornbeam {

namespace {

constexpr std::chrono::milliseconds pollInterval{5};

} // namespace

bool waitUntil(std::chrono::milliseconds timeout, const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

} // namespace Hornbeam
