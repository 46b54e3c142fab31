#include "logger.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace Hornbeam {

namespace {

/** Capacity of the buffer for a slow reader of the output. */
constexpr int maxBufferedLines = 256;

log4cxx::LevelPtr toLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warning:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

/** Quotes a value whose end would be ambiguous; quotation marks and newlines in it become single quotes. */
std::string quoted(const std::string &value)
{
    if (!value.empty() && value.find_first_of(" \"=\n") == std::string::npos) {
        return value;
    }
    std::string text = "\"";
    for (const char c : value) {
        text += c == '"' || c == '\n' ? '\'' : c;
    }
    return text + '"';
}

std::string format(const std::string &message, const std::vector<LogField> &fields)
{
    auto line = message;
    for (const auto &field : fields) {
        line += " " + field.name + "=" + quoted(field.value);
    }
    return line;
}

} // namespace

void Logger::initialise(const LogSettings &settings)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>("%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %c %m%n");
    const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
    const auto appender = std::make_shared<log4cxx::AsyncAppender>();
    appender->addAppender(console);
    // With a slow reader of the output, lines are dropped instead of delaying requests.
    appender->setBufferSize(maxBufferedLines);
    appender->setBlocking(false);
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(toLevel(settings.level));
}

void Logger::shutDown()
{
    log4cxx::LogManager::shutdown();
}

Logger::Logger(std::string component)
    : m_component(std::move(component))
{
}

void Logger::info(const std::string &message, const std::vector<LogField> &fields) const
{
    LOG4CXX_INFO(log4cxx::Logger::getLogger(m_component), format(message, fields));
}

void Logger::warning(const std::string &message, const std::vector<LogField> &fields) const
{
    LOG4CXX_WARN(log4cxx::Logger::getLogger(m_component), format(message, fields));
}

void Logger::error(const std::string &message, const std::vector<LogField> &fields) const
{
    LOG4CXX_ERROR(log4cxx::Logger::getLogger(m_component), format(message, fields));
}

} // namespace Hornbeam
