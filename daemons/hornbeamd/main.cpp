#include "daemon.h"
#include "logger.h"

#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

using namespace Hornbeam;

namespace {

constexpr int exitUsage = 2;

struct CommandLine
{
    std::string settingsFile;
    bool checkOnly = false;
};

/** Returns std::nullopt when the process should exit with @p exitStatus. */
std::optional<CommandLine> parseCommandLine(int argc, char **argv, int &exitStatus)
{
    cxxopts::Options options("hornbeamd", "Proxy and configuration node of hornbeamring");
    options.add_options()("s,settings", "JSON settings file", cxxopts::value<std::string>());
    options.add_options()("check-settings", "Check the settings file and exit");
    options.add_options()("version", "Print the version and exit");
    options.add_options()("h,help", "Print this help and exit");
    exitStatus = 0;
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            std::cout << options.help();
            return std::nullopt;
        }
        if (arguments.count("version") != 0) {
            std::cout << "hornbeamd " << HORNBEAM_VERSION << '\n';
            return std::nullopt;
        }
        if (arguments.count("settings") == 0) {
            std::cerr << "hornbeamd: --settings is required\n";
            exitStatus = exitUsage;
            return std::nullopt;
        }
        return CommandLine{.settingsFile = arguments["settings"].as<std::string>(),
                           .checkOnly = arguments.count("check-settings") != 0};
    } catch (const std::exception &error) {
        std::cerr << "hornbeamd: " << error.what() << '\n';
        exitStatus = exitUsage;
        return std::nullopt;
    }
}

std::optional<Settings> loadSettings(const std::string &fileName)
{
    std::ifstream file(fileName);
    if (!file) {
        std::cerr << "hornbeamd: cannot read settings file " << fileName << '\n';
        return std::nullopt;
    }
    std::ostringstream content;
    content << file.rdbuf();
    auto settings = Settings::parse(content.str());
    if (!settings) {
        for (const auto &problem : settings.error()) {
            std::cerr << "hornbeamd: " << fileName << ": " << problem.path << ' ' << problem.text << '\n';
        }
        return std::nullopt;
    }
    return *settings;
}

} // namespace

int main(int argc, char **argv)
{
    int exitStatus = 0;
    const auto commandLine = parseCommandLine(argc, argv, exitStatus);
    if (!commandLine) {
        return exitStatus;
    }
    const auto settings = loadSettings(commandLine->settingsFile);
    if (!settings) {
        return exitUsage;
    }
    if (commandLine->checkOnly) {
        std::cout << "settings are valid\n";
        return 0;
    }
    Logger::initialise(settings->log);
    const int result = runDaemon(*settings);
    Logger::shutDown();
    return result;
}
