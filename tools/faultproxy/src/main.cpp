#include "controlserver.h"
#include "faultproxy.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <random>

using namespace Hornbeam;

namespace {

int run(const Endpoint &listen, std::uint64_t seed)
{
    asio::io_context io(1);
    FaultProxy proxy(io, seed);
    const auto server = ControlServer::make(io, listen, proxy);
    if (!server) {
        std::cerr << "faultproxy: " << server.error().message() << '\n';
        return 1;
    }
    asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([&](const std::error_code &, int) { io.stop(); });
    std::cout << "seed " << seed << std::endl;
    std::cout << "listening on " << listen.toString() << std::endl;
    io.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("faultproxy",
                             "Forwards TCP and UDP traffic between the processes of a test and injects faults.");
    auto add = options.add_options();
    add("listen-control", "Address of the control API", cxxopts::value<std::string>(), "IP:PORT");
    add("seed",
        "Seed of the random generator; 0 chooses a random seed",
        cxxopts::value<std::uint64_t>()->default_value("0"));
    add("help", "Print this help");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return 0;
        }
        const auto listen = Endpoint::parse(parsed["listen-control"].as<std::string>());
        if (!listen) {
            std::cerr << "faultproxy: --listen-control: " << listen.error().message() << '\n';
            return 2;
        }
        const auto seed = parsed["seed"].as<std::uint64_t>();
        return run(*listen, seed != 0 ? seed : std::random_device()());
    } catch (const std::exception &error) {
        std::cerr << "faultproxy: " << error.what() << '\n';
        return 2;
    }
}
