#include "daemon.h"

#include "logger.h"
#include "node.h"

#include <hornbeam/settings/settings.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace Hornbeam {

namespace {

constexpr int exitStartFailed = 1;

/** Logs each SIGHUP, which would otherwise end the process. Settings are read at startup only. */
void logReloadRequests(asio::signal_set &signals, const Logger &log)
{
    signals.async_wait([&](const std::error_code &ec, int /*signal*/) {
        if (!ec) {
            log.info("SIGHUP ignored; changed settings take effect at the next start");
            logReloadRequests(signals, log);
        }
    });
}

} // namespace

int runDaemon(const Settings &settings)
{
    const Logger log("hornbeamd");
    asio::io_context control(1);
    auto node = Node::make(settings, control);
    if (!node) {
        log.error("start failed", {{"error", node.error().message()}});
        return exitStartFailed;
    }
    asio::signal_set stopSignals(control, SIGTERM, SIGINT);
    asio::signal_set reloadSignals(control, SIGHUP);
    logReloadRequests(reloadSignals, log);
    stopSignals.async_wait([&](const std::error_code &ec, int signal) {
        if (!ec) {
            log.info("graceful shutdown started", {{"signal", std::to_string(signal)}});
            (*node)->shutDown([&control] { control.stop(); });
        }
    });
    (*node)->start();
    log.info("node started", {{"zone", settings.node.zone}, {"traffic", settings.traffic.listen.toString()}});
    // Process supervisors and tests wait for this line.
    std::cout << "hornbeamd is ready" << std::endl;
    control.run();
    node->reset();
    log.info("node stopped");
    Logger::shutDown();
    // Returning would remove the signal handlers before the process ends, and a late signal would change its status.
    std::quick_exit(EXIT_SUCCESS);
}

} // namespace Hornbeam
