#include "endlessresponses.h"
#include "hopfixture.h"
#include "processmemory.h"

#include <sstream>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using namespace std::chrono_literals;

namespace {

/** Targets and callers of a node whose responses take more memory than it has if the node keeps them all. */
class ResponseMemoryTest : public Utest, protected HopFixture
{
protected:
    static constexpr std::size_t mebibyte = std::size_t{1024} * 1024;

    /** Everything but responses that are kept in memory. */
    static constexpr std::size_t ordinaryBytes = 8 * mebibyte;

    /** What a node may keep of large responses, see docs/OPERATIONS.md, besides everything else. */
    static constexpr std::size_t busyBytes = 16 * mebibyte + ordinaryBytes;

    std::size_t before = 0; ///< Memory at the start of the measurement.
    std::size_t peak = 0;
    std::vector<TestSocket> callers;

    void startMeasuring()
    {
        before = residentBytes();
        peak = before;
    }

    /** Waits until @p condition holds; returns whether it did. */
    bool measureUntil(const std::function<bool()> &condition)
    {
        return ProxyFixture::waitUntil([&] {
            peak = std::max(peak, residentBytes());
            return condition();
        });
    }

    /** Sends requests for @p path on @p n connections, from which nothing is read. */
    void callWithoutReading(std::size_t n, const std::string &path)
    {
        while (callers.size() < n) {
            callers.push_back(connect());
            callers.back().send(get(path));
        }
    }

    void checkMemory(const std::string &name) const
    {
        const auto text = name + ": " + std::to_string((peak - before) / 1024) + " KiB";
        CHECK_TEXT(peak - before < busyBytes, text.c_str());
    }
};

std::string chunkedResponse(std::size_t bytes)
{
    std::ostringstream size;
    size << std::hex << bytes;
    return HopFixture::responseHead("Transfer-Encoding: chunked\r\n") + size.str() + "\r\n" + std::string(bytes, 'x')
        + "\r\n0\r\n\r\n";
}

} // namespace

TEST_GROUP_BASE(ResponseMemory, ResponseMemoryTest){};

// Guards against a node that ends because a burst of large responses without a length waits for its link: the sizes of
// earlier responses do not say how much memory they take.
TEST(ResponseMemory, largeResponsesWithoutALength)
{
    for (const auto hop : allHops) {
        for (const std::size_t bytes : {2 * mebibyte - 65536, mebibyte / 10}) {
            const auto small = chunkedResponse(1000);
            const auto large = chunkedResponse(bytes);
            std::atomic<bool> burst = false;
            const TestTarget target([&](const TestMessage & /*request*/, TestSocket &connection) {
                return connection.send(burst ? large : small);
            });
            timeout = 4000ms;
            targetOptions.linkMegabits = 5;
            frontOptions.linkMegabits = 5;
            startReading(hop, target);
            for (int i = 0; i < 20; ++i) {
                CHECK_EQUAL(200, exchange(get("/export")).status());
            }
            burst = true;
            startMeasuring();
            callWithoutReading(250, "/export");
            measureUntil([&, until = std::chrono::steady_clock::now() + 2s] {
                return std::chrono::steady_clock::now() >= until;
            });
            callers.clear();
            checkMemory(std::string(hopName(hop)) + ", " + std::to_string(bytes) + " bytes");
        }
    }
}

// Guards against the same by responses without end, in each part of a response.
TEST(ResponseMemory, responsesWithoutEnd)
{
    timeout = 300ms;
    for (const auto hop : allHops) {
        for (const auto &response : endlessResponses()) {
            for (const char *path : {"/", "/export"}) {
                std::atomic<int> open = 0;
                const auto head = response.headWith("Signed-By: t\r\nCall-Id: c1\r\n");
                const auto pieces = response.pieces(65536);
                const TestTarget target([&](const TestMessage & /*request*/, TestSocket &connection) {
                    ++open;
                    for (bool sent = connection.send(head); sent;) {
                        sent = connection.send(pieces);
                    }
                    --open;
                    return false;
                });
                startReading(hop, target);
                startMeasuring();
                callWithoutReading(40, path);
                const auto name = std::string(response.name) + " " + path + ", " + hopName(hop);
                CHECK_TEXT(measureUntil([&] { return target.requests() > 0; }), name.c_str());
                CHECK_TEXT(measureUntil([&] { return server().requestsInFlight() == 0 && open == 0; }), name.c_str());
                callers.clear();
                checkMemory(name);
            }
        }
    }
}

// Guards against memory that idle connections keep after large responses.
TEST(ResponseMemory, isFreedAfterLargeResponses)
{
    const auto large = responseHead("Content-Length: 2000000\r\n") + std::string(2000000, 'x');
    const TestTarget target([&](const TestMessage & /*request*/, TestSocket &connection) {
        std::this_thread::sleep_for(50ms);
        return connection.send(large);
    });
    startReading(Hop::TargetToNode, target);
    const auto before = allocatedBytes();
    for (int i = 0; i < 3; ++i) {
        callWithoutReading(10, "/export");
        for (auto &caller : callers) {
            const auto response = caller.readAndDiscard();
            CHECK(response && response->complete);
        }
        callers.clear();
    }
    CHECK(ProxyFixture::waitUntil([&] { return server().requestsInFlight() == 0; }));
    CHECK_COMPARE(allocatedBytes(), <, before + ordinaryBytes);
}
