#pragma once

#include "fakeclaims.h"
#include "testtarget.h"

#include <hornbeam/base/metrics.h>
#include <hornbeam/proxy/proxyserver.h>

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Hornbeam {

/** Collects crash reports. */
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
 * A proxy server with one service "rota": idempotent by default, non-idempotent by key below /book and by content
 * below /draw.
 */
class ProxyFixture
{
public:
    ProxyOptions options;
    Service service;
    std::vector<Target> targets;
    std::vector<Digest> quarantined;
    FakeClaims claims;
    FakeCrashReporter crashes;
    MetricsRegistry metrics;
    std::chrono::milliseconds timeout{5000}; ///< Of all routes.
    std::unique_ptr<ProxyServer> server;

    ProxyFixture();

    void addTarget(const TestTarget &target, std::uint32_t slots = 10);
    void start();

    /** Publishes targets and quarantine again. */
    void publish();

    TestSocket connect() const;

    /** Sends one request on a connection of its own and returns the response. */
    std::optional<TestMessage> call(const std::string &requestText) const;

    /** A GET of @p path with optional headers, each ending in CRLF. */
    static std::string get(const std::string &path, const std::string &headers = {});
    static std::string post(const std::string &path, const std::string &body, const std::string &headers = {});

    /** Waits up to five seconds until @p condition holds; returns whether it did. */
    static bool waitUntil(const std::function<bool()> &condition);
};

} // namespace Hornbeam
