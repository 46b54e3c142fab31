#include "processusage.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace Hornbeam {

namespace {

constexpr int fieldsBeforeUserTime = 11; ///< Fields between the command name and utime in /proc/PID/stat; see proc(5).

std::chrono::milliseconds readCpuTime(const std::string &directory)
{
    std::ifstream file(directory + "/stat");
    std::string text;
    std::getline(file, text);
    const auto afterCommand = text.rfind(')');
    if (afterCommand == std::string::npos) {
        return {};
    }
    std::istringstream fields(text.substr(afterCommand + 1));
    std::string skipped;
    for (int i = 0; i < fieldsBeforeUserTime; ++i) {
        fields >> skipped;
    }
    std::int64_t userTicks = 0;
    std::int64_t systemTicks = 0;
    fields >> userTicks >> systemTicks;
    return std::chrono::milliseconds((userTicks + systemTicks) * 1000 / ::sysconf(_SC_CLK_TCK));
}

std::uint64_t readStatusKilobytes(const std::string &directory, const std::string &name)
{
    std::ifstream file(directory + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with(name + ":")) {
            return std::stoull(line.substr(name.size() + 1));
        }
    }
    return 0;
}

} // namespace

ProcessUsage readProcessUsage(pid_t pid)
{
    const auto directory = "/proc/" + std::to_string(pid);
    return {.cpu = readCpuTime(directory),
            .residentBytes = readStatusKilobytes(directory, "VmRSS") * 1024,
            .peakResidentBytes = readStatusKilobytes(directory, "VmHWM") * 1024};
}

} // namespace Hornbeam
