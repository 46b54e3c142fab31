#include "baselinenode.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <cxxopts.hpp>

#include <iostream>

using namespace Hornbeam;

namespace {

int run(const BaselineNodeOptions &options)
{
    asio::io_context context(1);
    const auto node = BaselineNode::make(options, context);
    if (!node) {
        std::cerr << "baselinenode: " << node.error().message() << '\n';
        return 1;
    }
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const std::error_code &, int) { context.stop(); });
    (*node)->start();
    std::cout << "baselinenode is ready" << std::endl;
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    std::string listen;
    std::string store;
    cxxopts::Options parser("baselinenode", "Node of the baseline design, in which every node watches the store");
    auto add = parser.add_options();
    add("listen", "Address for requests and metrics as IP:PORT", cxxopts::value(listen));
    add("store", "Address of the store as IP:PORT", cxxopts::value(store));
    add("help", "Print the options");
    try {
        if (parser.parse(argc, argv).count("help") != 0) {
            std::cout << parser.help();
            return 0;
        }
    } catch (const std::exception &error) {
        std::cerr << "baselinenode: " << error.what() << '\n';
        return 2;
    }
    const auto listenEndpoint = Endpoint::parse(listen);
    const auto storeEndpoint = Endpoint::parse(store);
    if (!listenEndpoint || !storeEndpoint) {
        std::cerr << "baselinenode: --listen and --store need IP:PORT\n";
        return 2;
    }
    return run({.listen = *listenEndpoint, .store = *storeEndpoint});
}
