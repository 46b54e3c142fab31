#pragma once

#include <hornbeam/base/error.h>

#include <chrono>
#include <filesystem>
#include <future>
#include <map>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Hornbeam {

/** Returns the path of a program built in this build directory, for example "hornbeamd". */
std::filesystem::path programPath(const std::string &name);

struct ProcessOptions
{
    std::string name; ///< Unique among the running processes of the group; names the log file.
    std::filesystem::path program;
    std::vector<std::string> arguments = {};
    std::string readyLine = {}; ///< start() waits for this text in the output; empty does not wait.
    std::chrono::milliseconds readyTimeout{10000};
};

/**
 * Child processes of one test. Their output goes to log files in a temporary directory, which is removed at the end
 * unless keepLogs() was called. The group kills its own processes, and no others, when it is destroyed or a signal
 * terminates the test program. They keep running if that signal is SIGKILL.
 */
class ProcessGroup
{
public:
    ProcessGroup();
    ~ProcessGroup();
    ProcessGroup(const ProcessGroup &) = delete;
    ProcessGroup &operator=(const ProcessGroup &) = delete;

    /** Starts a process and waits for its ready line. If it does not appear, Unavailable contains the last output. */
    Result<pid_t> start(const ProcessOptions &options);

    /** Sends SIGKILL and waits until the process has ended. */
    void kill(const std::string &name);

    /** Sends SIGTERM without waiting for the process to end. */
    void terminate(const std::string &name);

    /** Sends SIGHUP. */
    void reload(const std::string &name);

    /** Sends SIGSTOP and waits until the process has stopped. */
    void pause(const std::string &name);

    /** Sends SIGCONT. */
    void resume(const std::string &name);

    /** Returns the exit status, or 128 plus the number of the signal that ended it; empty when the timeout expires. */
    std::optional<int> waitForExit(const std::string &name, std::chrono::milliseconds timeout);

    /**
     * Returns the time at which the running process exits, as soon as it does. Until the time is available, no function
     * may be called that collects the exit status, except for kill().
     */
    std::future<std::chrono::steady_clock::time_point> exitTime(const std::string &name) const;

    bool isRunning(const std::string &name);

    /** Process id; -1 when the process was not started or its exit status has been collected. */
    pid_t pid(const std::string &name) const;

    /** Everything that processes with this name have written to standard output and standard error. */
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
