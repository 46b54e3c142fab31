#include "targetoptions.h"

#include <cxxopts.hpp>

namespace Hornbeam {

namespace {

cxxopts::Options describeOptions()
{
    cxxopts::Options options("targetstandin", "HTTP target for tests and benchmarks");
    options.add_options()(
        "listen", "address to listen on, as IP:PORT", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    options.add_options()("advertise",
                          "IP:PORT to announce; default: the listening address",
                          cxxopts::value<std::string>()->default_value(""));
    options.add_options()("admin",
                          "IP:PORT of the admin API of the node on this host; default: no announcements",
                          cxxopts::value<std::string>());
    options.add_options()("service", "service name to announce", cxxopts::value<std::string>()->default_value("echo"));
    options.add_options()("slots", "number of slots to announce", cxxopts::value<std::uint32_t>()->default_value("10"));
    options.add_options()("shed-above",
                          "respond 503 above this many concurrent requests; 0 disables",
                          cxxopts::value<std::uint32_t>()->default_value("0"));
    options.add_options()("workers",
                          "number of /slow requests that run at the same time; 0 is no limit",
                          cxxopts::value<std::uint32_t>()->default_value("0"));
    options.add_options()(
        "label", "label to announce, as NAME=VALUE; repeatable", cxxopts::value<std::vector<std::string>>());
    options.add_options()(
        "ttl-ms", "time to live of announcements, in ms", cxxopts::value<std::uint32_t>()->default_value("3000"));
    options.add_options()("cold-start-ms",
                          "time after the start in which requests take longer, in ms",
                          cxxopts::value<std::uint32_t>()->default_value("0"));
    options.add_options()("leave-ms",
                          "minimum time between SIGTERM and exit, in ms",
                          cxxopts::value<std::uint32_t>()->default_value("3000"));
    options.add_options()("help", "print the usage");
    return options;
}

bool parseListen(const std::string &text, TargetOptions &options)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 == text.size()) {
        return false;
    }
    const auto port = text.substr(colon + 1);
    if (port.find_first_not_of("0123456789") != std::string::npos || port.size() > 5 || std::stoul(port) > 65535) {
        return false;
    }
    options.listenAddress = text.substr(0, colon);
    options.listenPort = static_cast<std::uint16_t>(std::stoul(port));
    return true;
}

bool parseLabels(const std::vector<std::string> &texts, TargetOptions &options)
{
    for (const auto &text : texts) {
        const auto equals = text.find('=');
        if (equals == std::string::npos || equals == 0) {
            return false;
        }
        options.labels[text.substr(0, equals)] = text.substr(equals + 1);
    }
    return true;
}

} // namespace

Result<TargetOptions> parseTargetOptions(int argc, char **argv)
{
    auto description = describeOptions();
    try {
        const auto parsed = description.parse(argc, argv);
        if (parsed.count("help") != 0) {
            return makeError(ErrorCode::InvalidArgument, description.help());
        }
        TargetOptions options;
        if (!parseListen(parsed["listen"].as<std::string>(), options)) {
            return makeError(ErrorCode::InvalidArgument, "--listen: expected IP:PORT");
        }
        if (parsed.count("label") != 0 && !parseLabels(parsed["label"].as<std::vector<std::string>>(), options)) {
            return makeError(ErrorCode::InvalidArgument, "--label: expected NAME=VALUE");
        }
        if (parsed.count("admin") != 0) {
            options.admin = parsed["admin"].as<std::string>();
        }
        options.advertise = parsed["advertise"].as<std::string>();
        options.service = parsed["service"].as<std::string>();
        options.slots = parsed["slots"].as<std::uint32_t>();
        options.shedAbove = parsed["shed-above"].as<std::uint32_t>();
        options.workers = parsed["workers"].as<std::uint32_t>();
        options.timeToLive = std::chrono::milliseconds(parsed["ttl-ms"].as<std::uint32_t>());
        options.coldStart = std::chrono::milliseconds(parsed["cold-start-ms"].as<std::uint32_t>());
        options.leaveTime = std::chrono::milliseconds(parsed["leave-ms"].as<std::uint32_t>());
        return options;
    } catch (const cxxopts::exceptions::exception &e) {
        return makeError(ErrorCode::InvalidArgument, e.what());
    }
}

} // namespace Hornbeam
