#pragma once

#include <hornbeam/settings/settings.h>

#include <string>
#include <vector>

namespace Hornbeam {

/** A named value of a log line. */
struct LogField
{
    std::string name;
    std::string value;
};

/**
 * Writes log lines of the form "time level component message name=value ...", about state changes and about decisions
 * on requests.
 */
class Logger
{
public:
    /** Directs the log of the process to standard output. Writing a line never blocks. */
    static void initialise(const LogSettings &settings);

    /** Flushes buffered lines; lines written afterwards are lost. */
    static void shutDown();

    explicit Logger(std::string component);

    void info(const std::string &message, const std::vector<LogField> &fields = {}) const;
    void warning(const std::string &message, const std::vector<LogField> &fields = {}) const;
    void error(const std::string &message, const std::vector<LogField> &fields = {}) const;

private:
    std::string m_component;
};

} // namespace Hornbeam
