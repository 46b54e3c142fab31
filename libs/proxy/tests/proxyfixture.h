#pragma once

#include "fakeclaims.h"
#include "testtarget.h"

#include <hornbeam/base/metrics.h>
#include <hornbeam/proxy/proxyserver.h>
#include <hornbeam/proxy/requestlog.h>

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Hornbeam {

/** Records the reports of a proxy. */
class FakeCrashReporter : public CrashReporter
{
public:
    void targetCrashed(const Digest &request, const Endpoint &target) override;
    void requestSucceeded(const Digest &request) override;
    void targetUnreachable(const Target &target) override;

    std::vector<Digest> crashed() const;
    std::vector<Digest> succeeded() const;
    int unreachable() const;

private:
    mutable std::mutex m_mutex;
    std::vector<Digest> m_crashed;
    std::vector<Digest> m_succeeded;
    int m_unreachable = 0;
};

/**
 * A proxy server with one service "rota". Its requests are idempotent, except below /book, where they are identified by
 * Idempotency-Key, and below /draw, where they are identified by content.
 */
class ProxyFixture
{
public:
    ProxyOptions options;
    Service service;
    std::vector<Target> targets;
    std::vector<Digest> quarantined;
    std::vector<SuspectRequest> suspects;
    FakeClaims claims;
    FakeCrashReporter crashes;
    MetricsRegistry metrics;
    RequestLog *log = nullptr;
    TrafficLimits limits;
    std::chrono::milliseconds timeout{5000}; ///< Timeout of all routes.
    std::unique_ptr<ProxyServer> server;

    ProxyFixture();

    void addTarget(const TestTarget &target, std::uint32_t slots = 10);
    void start();

    /** Publishes the present values of service, targets, quarantined, suspects and timeout. */
    void publish();

    TestSocket connect() const;

    /** Sends one request on a new connection and returns the response. */
    std::optional<TestMessage> call(const std::string &requestText) const;

    /** Text of a GET request for @p path. @p headers: further headers, each ending in CRLF. */
    static std::string get(const std::string &path, const std::string &headers = {});
    static std::string post(const std::string &path, const std::string &body, const std::string &headers = {});

    /** Waits up to five seconds until @p condition holds; returns whether it did. */
    static bool waitUntil(const std::function<bool()> &condition);
};

} // namespace Hornbeam
