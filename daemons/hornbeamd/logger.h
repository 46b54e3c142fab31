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

/** Writes log lines as "level component message name=value ...". Lines are for changes of state and for decisions about
 * requests. */
class Logger
{
public:
    /** Configures the process's log output on standard output. Writing never blocks the caller. */
    static void initialise(const LogSettings &settings);

    /** Writes what waits in the buffer; lines after it are lost. */
    static void shutDown();

    explicit Logger(std::string component);

    void info(const std::string &message, const std::vector<LogField> &fields = {}) const;
    void warning(const std::string &message, const std::vector<LogField> &fields = {}) const;
    void error(const std::string &message, const std::vector<LogField> &fields = {}) const;

private:
    std::string m_component;
};

} // namespace Hornbeam
