#include "storestandin.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <cxxopts.hpp>

#include <charconv>
#include <iostream>

namespace {

/** Parses IP:PORT. Accepts port 0, which Endpoint::parse() rejects: it lets the system choose the port. */
Hornbeam::Result<Hornbeam::Endpoint> parseListen(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon != std::string::npos && text.substr(colon) == ":0") {
        return Hornbeam::Endpoint(text.substr(0, colon), 0);
    }
    return Hornbeam::Endpoint::parse(text);
}

int run(const Hornbeam::StoreStandinOptions &options)
{
    asio::io_context context(1);
    const auto standin = Hornbeam::StoreStandin::make(options, context);
    if (!standin) {
        std::cerr << "storestandin: " << standin.error().message() << std::endl;
        return 1;
    }
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const std::error_code &, int) { context.stop(); });
    std::cout << "listening on " << (*standin)->localEndpoint().toString() << std::endl;
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    Hornbeam::StoreStandinOptions options;
    std::string listen;
    cxxopts::Options parser("storestandin", "Test replacement for the platform's key-value store");
    auto add = parser.add_options();
    add("listen", "Address to listen on, as IP:PORT", cxxopts::value(listen)->default_value("127.0.0.1:0"));
    add("writes-per-second", "Rate limit of writes", cxxopts::value(options.writesPerSecond)->default_value("400"));
    add("reads-per-second",
        "Rate limit of reads and watches",
        cxxopts::value(options.readsPerSecond)->default_value("2000"));
    add("help", "Print this help");
    try {
        const auto arguments = parser.parse(argc, argv);
        if (arguments.count("help") != 0) {
            std::cout << parser.help();
            return 0;
        }
    } catch (const std::exception &error) {
        std::cerr << "storestandin: " << error.what() << std::endl;
        return 2;
    }
    const auto endpoint = parseListen(listen);
    if (!endpoint) {
        std::cerr << "storestandin: --listen: " << endpoint.error().message() << std::endl;
        return 2;
    }
    options.listen = *endpoint;
    return run(options);
}
