#include "logger.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace Hornbeam {

namespace {

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

std::string format(const std::string &message, const std::vector<LogField> &fields)
{
    auto line = message;
    for (const auto &field : fields) {
        line += " " + field.name + "=" + field.value;
    }
    return line;
}

} // namespace

void Logger::initialise(const LogSettings &settings)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>("%d{yyyy-MM-dd HH:mm:ss.SSS} %-5p %c %m%n");
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(toLevel(settings.level));
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
