#pragma once

#include <hornbeam/testsupport/mesh.h>
#include <hornbeam/testsupport/waiting.h>

#include <future>
#include <memory>
#include <string>
#include <vector>

// Included last, because its macro for operator new breaks headers that use placement new.
#include <CppUTest/TestHarness.h>

namespace Hornbeam {

/** Returns the value of the result, or fails the test with the error's message. */
template <typename T>
T require(Result<T> result)
{
    if (!result) {
        FAIL(result.error().message().c_str());
    }
    return *std::move(result);
}

/** Every reachable node must apply a confirmed change, or stop using a leaving target, within this time. */
constexpr std::chrono::milliseconds convergenceBound{3000};

/** Timeout for conditions without a specified bound, for example the start of a process. */
constexpr std::chrono::milliseconds waitTimeout{10000};

/** Base class of the test groups: a running mesh with one service and its routes. */
class MeshTest : public Utest
{
protected:
    MeshTest();
    ~MeshTest() override;

    /** Starts a mesh, applies basicIntent() and waits until every node serves it and knows all targets. */
    void startMesh(MeshOptions options);

    /** Waits until each of the nodes knows each of the targets. */
    bool waitForTargets(const std::vector<int> &nodes, const std::vector<int> &targets);
    bool knowsTargets(int node, const std::vector<int> &targets) const;

    std::vector<int> allTargets() const;

    /** Number of the given targets whose processes have ended. */
    int stoppedTargetCount(const std::vector<int> &targets);

    /** Sends a booking through a node: a non-idempotent request, which must be executed at most once. */
    Result<HttpResponse> book(int node, const std::string &key, const std::string &behaviour = {}) const;

    /** Sends a booking from another thread. */
    std::future<Result<HttpResponse>> bookAsync(int node, const std::string &key, const std::string &behaviour) const;

    /** Sends a read, which is idempotent, through a node. */
    Result<HttpResponse> read(int node, const std::string &path = "/rota/today") const;

    /** Sends a read with a request id, under which the targets count executions; @p behaviour is that of the target. */
    Result<HttpResponse> readWithRequestId(int node,
                                           const std::string &requestId,
                                           const std::string &behaviour = {}) const;

    /** Waits until the targets have executed requests with this key at least @p n times. */
    bool waitForExecutions(const std::string &key, std::uint64_t n) const;

    /** Sends a booking repeatedly until the status is 200; returns whether it was within waitTimeout. */
    bool bookUntilServed(int node, const std::string &key) const;

    /** Adds a route through a node, which creates a new configuration version, and returns the version. */
    std::uint64_t createVersion(int node);

    std::unique_ptr<Mesh> mesh;
    std::uint64_t version = 0; ///< The newest version that the test has confirmed.

private:
    int m_routes = 0;
};

/** Value of the header X-Hornbeam-Outcome: what a refusal says about the execution; empty without the header. */
std::string outcomeOf(const Result<HttpResponse> &response);

/** HTTP status, or 0 without a response. */
int statusOf(const Result<HttpResponse> &response);

/** Describes a response or error for the message of a failed check. */
std::string describe(const Result<HttpResponse> &response);

} // namespace Hornbeam
