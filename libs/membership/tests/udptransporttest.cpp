#include <hornbeam/base/metrics.h>
#include <hornbeam/membership/udptransport.h>

// Must precede CppUTest, which redefines operator new by a macro that asio's headers do not compile with.
#include <asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

TEST_GROUP(UdpTransport)
{
    asio::io_context context;
    MetricsRegistry metrics;
    Endpoint any{"127.0.0.1", 0};
};

TEST(UdpTransport, deliversAndCountsDatagrams)
{
    auto sender = UdpTransport::make(context, any, metrics).value();
    auto receiver = UdpTransport::make(context, any, metrics).value();
    std::string received;
    receiver->setReceiver([&received](std::string_view bytes) { received = bytes; });
    sender->send(receiver->localEndpoint(), "hello");
    const auto deadline = std::chrono::steady_clock::now() + 10s;
    while (received.empty() && std::chrono::steady_clock::now() < deadline) {
        context.run_one_for(100ms);
    }
    STRCMP_EQUAL("hello", received.c_str());
    CHECK_EQUAL(33, metrics.counter("hornbeam_membership_bytes_sent_total", "").value());
    CHECK_EQUAL(33, metrics.counter("hornbeam_membership_bytes_received_total", "").value());
}

TEST(UdpTransport, reportsAnAddressInUse)
{
    const auto first = UdpTransport::make(context, any, metrics).value();
    const auto second = UdpTransport::make(context, first->localEndpoint(), metrics);
    CHECK(second.error().code() == ErrorCode::Unavailable);
}
