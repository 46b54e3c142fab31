#include <hornbeam/testsupport/processgroup.h>
#include <hornbeam/testsupport/waiting.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <mutex>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace Hornbeam {

namespace {

/**
 * Processes to kill when a signal terminates this program. A fixed array of atomics, because the signal handler reads
 * it.
 */
constexpr std::size_t maxProcesses = 4096;
std::array<std::atomic<pid_t>, maxProcesses> runningProcesses{};

void killProcessesAndReraise(int signal)
{
    for (const auto &process : runningProcesses) {
        const pid_t pid = process.load();
        if (pid > 0) {
            ::kill(pid, SIGKILL);
        }
    }
    ::signal(signal, SIG_DFL);
    ::raise(signal);
}

void installSignalHandlers()
{
    for (const int signal : {SIGTERM, SIGINT, SIGHUP, SIGABRT, SIGSEGV, SIGBUS, SIGFPE, SIGALRM}) {
        ::signal(signal, &killProcessesAndReraise);
    }
}

void replaceRunningProcess(pid_t from, pid_t to)
{
    for (auto &process : runningProcesses) {
        pid_t expected = from;
        if (process.compare_exchange_strong(expected, to)) {
            return;
        }
    }
}

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::string lastBytes(const std::string &text)
{
    constexpr std::size_t shownBytes = 2000;
    return text.substr(text.size() - std::min(text.size(), shownBytes));
}

int decodeStatus(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

} // namespace

std::filesystem::path programPath(const std::string &name)
{
    return std::filesystem::path(HORNBEAM_PROGRAM_DIRECTORY) / name;
}

ProcessGroup::ProcessGroup()
{
    static std::once_flag once;
    std::call_once(once, &installSignalHandlers);
    auto pattern = (std::filesystem::temp_directory_path() / "hornbeam-test-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        pattern = std::filesystem::temp_directory_path().string();
        m_keepLogs = true;
    }
    m_directory = pattern;
}

ProcessGroup::~ProcessGroup()
{
    for (const auto &[name, process] : m_processes) {
        kill(name);
    }
    if (!m_keepLogs) {
        std::error_code ec;
        std::filesystem::remove_all(m_directory, ec);
    }
}

Result<pid_t> ProcessGroup::start(const ProcessOptions &options)
{
    const auto before = output(options.name).size();
    const auto pid = spawn(options);
    if (!pid || options.readyLine.empty()) {
        return pid;
    }
    const auto ready = [&] {
        return output(options.name).find(options.readyLine, before) != std::string::npos;
    };
    waitUntil(options.readyTimeout, [&] { return ready() || !isRunning(options.name); });
    if (!ready()) {
        return makeError(ErrorCode::Unavailable,
                         options.name + " did not become ready; its last output:\n" + lastBytes(output(options.name)));
    }
    return pid;
}

void ProcessGroup::kill(const std::string &name)
{
    signal(name, SIGKILL);
    const auto it = m_processes.find(name);
    if (it != m_processes.end()) {
        reap(it->second, 0);
    }
}

void ProcessGroup::terminate(const std::string &name)
{
    signal(name, SIGTERM);
}

void ProcessGroup::reload(const std::string &name)
{
    signal(name, SIGHUP);
}

void ProcessGroup::pause(const std::string &name)
{
    signal(name, SIGSTOP);
    siginfo_t info = {};
    ::waitid(P_PID, static_cast<id_t>(pid(name)), &info, WSTOPPED | WEXITED | WNOWAIT);
}

void ProcessGroup::resume(const std::string &name)
{
    signal(name, SIGCONT);
}

std::optional<int> ProcessGroup::waitForExit(const std::string &name, std::chrono::milliseconds timeout)
{
    waitUntil(timeout, [&] { return !isRunning(name); });
    const auto it = m_processes.find(name);
    return it == m_processes.end() ? std::nullopt : it->second.exitStatus;
}

std::future<std::chrono::steady_clock::time_point> ProcessGroup::exitTime(const std::string &name) const
{
    return std::async(std::launch::async, [id = static_cast<id_t>(pid(name))] {
        siginfo_t info = {};
        ::waitid(P_PID, id, &info, WEXITED | WNOWAIT);
        return std::chrono::steady_clock::now();
    });
}

bool ProcessGroup::isRunning(const std::string &name)
{
    const auto it = m_processes.find(name);
    if (it == m_processes.end()) {
        return false;
    }
    reap(it->second, WNOHANG);
    return !it->second.exitStatus;
}

pid_t ProcessGroup::pid(const std::string &name) const
{
    const auto it = m_processes.find(name);
    return it == m_processes.end() || it->second.exitStatus ? -1 : it->second.pid;
}

std::string ProcessGroup::output(const std::string &name) const
{
    return readFile(logPath(name));
}

std::filesystem::path ProcessGroup::logPath(const std::string &name) const
{
    return m_directory / (name + ".log");
}

Result<pid_t> ProcessGroup::spawn(const ProcessOptions &options)
{
    if (isRunning(options.name)) {
        return makeError(ErrorCode::Conflict, options.name + " is already running");
    }
    std::vector<std::string> words = {options.program.string()};
    words.insert(words.end(), options.arguments.begin(), options.arguments.end());
    std::vector<char *> argv;
    for (auto &word : words) {
        argv.push_back(word.data());
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    const int flags = O_WRONLY | O_CREAT | O_APPEND;
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logPath(options.name).c_str(), flags, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    pid_t pid = -1;
    const int error = ::posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        return makeError(ErrorCode::Unavailable,
                         "starting " + words.front() + ": " + std::generic_category().message(error));
    }
    replaceRunningProcess(0, pid);
    m_processes[options.name] = {.pid = pid, .exitStatus = std::nullopt};
    return pid;
}

void ProcessGroup::reap(Process &process, int options)
{
    int status = 0;
    if (process.exitStatus || ::waitpid(process.pid, &status, options) != process.pid) {
        return;
    }
    process.exitStatus = decodeStatus(status);
    replaceRunningProcess(process.pid, 0);
}

void ProcessGroup::signal(const std::string &name, int number)
{
    // pid() returns -1 after the process was reaped, since the system may then reuse its id.
    const pid_t target = pid(name);
    if (target > 0) {
        ::kill(target, number);
    }
}

} // namespace Hornbeam
