#include "announcer.h"
#include "targetoptions.h"
#include "targetserver.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <curl/curl.h>

#include <csignal>
#include <iostream>

using namespace Hornbeam;

namespace {

int run(const TargetOptions &options)
{
    asio::io_context context(1);
    TargetServer server(context, options);
    server.start();
    Announcer announcer(options, options.advertise.empty() ? server.address() : options.advertise);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const std::error_code &ec, int /*signal*/) {
        if (!ec) {
            announcer.announceLeaving();
            server.leave();
        }
    });
    std::cout << "listening on " << server.address() << std::endl;
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const auto options = parseTargetOptions(argc, argv);
    if (!options) {
        std::cerr << options.error().message() << '\n';
        return 2;
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    try {
        return run(*options);
    } catch (const std::exception &e) {
        std::cerr << "targetstandin: " << e.what() << '\n';
        return 1;
    }
}
