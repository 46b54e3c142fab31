#include "soaklog.h"

#include <chrono>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <mutex>

namespace Hornbeam {

void logSoakEvent(const std::string &text)
{
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    const auto now = std::chrono::system_clock::now();
    const auto seconds = std::chrono::system_clock::to_time_t(now);
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm time{};
    ::localtime_r(&seconds, &time);
    std::cout << std::put_time(&time, "%H:%M:%S.") << std::setfill('0') << std::setw(3) << ms << ' ' << text
              << std::endl;
}

} // namespace Hornbeam
