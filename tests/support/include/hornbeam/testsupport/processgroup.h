#pragma once

#include <hornbeam/base/error.h>

#include <chrono>
#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Hornbeam {

/** Returns the path of a program of this build, for example "hornbeamd". */
std::filesystem::path programPath(const std::string &name);

struct ProcessOptions
{
    std::string name; ///< Unique among the running processes of the group; names the log file.
    std::filesystem::path program;
    std::vector<std::string> arguments = {};
    std::string readyLine = {}; ///< Text of the output to wait for; empty does not wait.
    std::chrono::milliseconds readyTimeout{10000};
};

/**
 * Processes of one test. They write to log files in a temporary directory, which is kept when keepLogs() was called.
 * The group ends its own processes, and no other, when it is destroyed or the test program receives a signal.
 * SIGKILL to the test program leaves them running.
 */
class ProcessGroup
{
public:
    ProcessGroup();
    ~ProcessGroup();
    ProcessGroup(const ProcessGroup &) = delete;
    ProcessGroup &operator=(const ProcessGroup &) = delete;

    /** Starts a process and waits for its ready line. Unavailable with the end of its output otherwise. */
    Result<pid_t> start(const ProcessOptions &options);

    /** Sends SIGKILL and waits until the process is gone. */
    void kill(const std::string &name);

    /** Sends SIGTERM and returns at once. */
    void terminate(const std::string &name);

    /** Sends SIGSTOP and waits until the process has stopped. */
    void freeze(const std::string &name);

    /** Sends SIGCONT. */
    void wake(const std::string &name);

    /** Returns the exit status, 128 plus the signal number after a signal, or nothing when the timeout passes first. */
    std::optional<int> waitForExit(const std::string &name, std::chrono::milliseconds timeout);

    bool isRunning(const std::string &name);

    /** Process id of a process that was started and not yet waited for, or -1. */
    pid_t pid(const std::string &name) const;

    /** Everything that the process, and earlier ones of this name, wrote. */
    std::string output(const std::string &name) const;

    /** The temporary directory. */
    const std::filesystem::path &directory() const
    {
        return m_directory;
    }

    void keepLogs()
    {
        m_keepLogs = true;
    }

private:
    struct Process
    {
        pid_t pid = -1;
        std::optional<int> exitStatus;
    };

    std::filesystem::path logPath(const std::string &name) const;
    Result<pid_t> spawn(const ProcessOptions &options);
    void reap(Process &process, int options);
    void signal(const std::string &name, int number);

    std::filesystem::path m_directory;
    std::map<std::string, Process> m_processes;
    bool m_keepLogs = false;
};

} // namespace Hornbeam
