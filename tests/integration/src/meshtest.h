#pragma once

#include <hornbeam/testsupport/mesh.h>
#include <hornbeam/testsupport/waiting.h>

#include <future>
#include <memory>
#include <string>
#include <vector>

// Last, because its macro for operator new breaks headers with placement new.
#include <CppUTest/TestHarness.h>

namespace Hornbeam {

/** Fails the test with the error's message, or returns the value. */
template <typename T>
T require(Result<T> result)
{
    if (!result) {
        FAIL(result.error().message().c_str());
    }
    return *std::move(result);
}

/** The bound of sections 1.2.7 and 1.2.9 of the design: a change is in effect everywhere within this time. */
constexpr std::chrono::milliseconds effectBound{3000};

/** Waits for things that have no bound of their own, for example the start of a process. */
constexpr std::chrono::milliseconds patience{10000};

/** Base of the tests: a running mesh with one service and its routes. */
class MeshTest : public Utest
{
protected:
    MeshTest();
    ~MeshTest() override;

    /** Starts a mesh, applies basicIntent() and waits until every node serves it with all targets known. */
    void startMesh(MeshOptions options);

    /** Waits until every one of the nodes knows each of the targets. */
    bool waitForTargets(const std::vector<int> &nodes, const std::vector<int> &targets);
    bool knowsTargets(int node, const std::vector<int> &targets) const;

    std::vector<int> allTargets() const;

    /** How many of the targets have ended. */
    int stoppedTargets(const std::vector<int> &targets);

    /** Sends a booking, which must run at most once, through a node. */
    Result<HttpResponse> book(int node, const std::string &key, const std::string &behaviour = {}) const;

    /** The same from another thread. */
    std::future<Result<HttpResponse>> bookLater(int node, const std::string &key, const std::string &behaviour) const;

    /** Sends an idempotent read through a node. */
    Result<HttpResponse> read(int node, const std::string &path = "/rota/today") const;

    /** Sends a read with a request id, which the targets count, and the given behaviour of the target. */
    Result<HttpResponse> readAs(int node, const std::string &requestId, const std::string &behaviour = {}) const;

    /** Waits until the targets have executed the requests with this key @p n times. */
    bool waitForExecutions(const std::string &key, std::uint64_t n) const;

    /** Sends a booking until it is answered with 200; returns whether it was within the patience. */
    bool bookUntilServed(int node, const std::string &key) const;

    /** Adds a route, which creates a new version, through a node and returns the version. */
    std::uint64_t nextVersion(int node);

    std::unique_ptr<Mesh> mesh;
    std::uint64_t version = 0; ///< The newest version that this test has confirmed.

private:
    int m_routes = 0;
};

/** "not-run", "in-progress", "unknown" or empty: what the refusal says about the execution. */
std::string outcomeOf(const Result<HttpResponse> &response);

/** Status of a response, or 0 without one. */
int statusOf(const Result<HttpResponse> &response);

/** Text that describes a response in the message of a failed check. */
std::string describe(const Result<HttpResponse> &response);

} // namespace Hornbeam
