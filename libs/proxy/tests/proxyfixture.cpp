#include "proxyfixture.h"

#include <algorithm>
#include <thread>

namespace Hornbeam {

using namespace std::chrono_literals;

void FakeCrashReporter::targetCrashed(const Digest &request, const Endpoint & /*target*/)
{
    const std::lock_guard lock(m_mutex);
    m_crashed.push_back(request);
}

void FakeCrashReporter::requestSucceeded(const Digest &request)
{
    const std::lock_guard lock(m_mutex);
    m_succeeded.push_back(request);
}

std::vector<Digest> FakeCrashReporter::crashed() const
{
    const std::lock_guard lock(m_mutex);
    return m_crashed;
}

std::vector<Digest> FakeCrashReporter::succeeded() const
{
    const std::lock_guard lock(m_mutex);
    return m_succeeded;
}

void FakeCrashReporter::targetUnreachable(const Target & /*target*/)
{
    const std::lock_guard lock(m_mutex);
    ++m_unreachable;
}

int FakeCrashReporter::unreachable() const
{
    const std::lock_guard lock(m_mutex);
    return m_unreachable;
}

ProxyFixture::ProxyFixture()
{
    options.listen = Endpoint("127.0.0.1", 0);
    options.zone = "turku";
    options.threads = 1;
    service.name = "rota";
    service.attemptTimeout = 2000ms;
}

void ProxyFixture::addTarget(const TestTarget &target, std::uint32_t slots)
{
    Target it;
    it.address = target.address();
    it.service = "rota";
    it.zone = "turku";
    it.slots = slots;
    targets.push_back(it);
}

void ProxyFixture::start()
{
    auto made = ProxyServer::make(options, {.claims = claims, .crashes = crashes, .metrics = metrics, .log = log});
    if (made) {
        server = std::move(*made);
        publish();
    }
}

void ProxyFixture::publish()
{
    SnapshotContent content;
    content.services = {service};
    content.limits = limits;
    Route read;
    read.name = "read";
    read.service = "rota";
    read.timeout = timeout;
    auto book = read;
    book.name = "book";
    book.pathPrefix = "/book";
    book.idempotent = false;
    auto draw = book;
    draw.name = "draw";
    draw.pathPrefix = "/draw";
    draw.identity = RequestIdentitySource::Content;
    auto urgent = read;
    urgent.name = "urgent";
    urgent.pathPrefix = "/urgent";
    urgent.priority = Priority::High;
    content.routes = {read, book, draw, urgent};
    auto state = std::make_shared<RoutingState>();
    state->snapshot = Snapshot::make(7, content).value();
    state->targets = targets;
    std::sort(state->targets.begin(), state->targets.end(), [](const Target &a, const Target &b) {
        return std::tie(a.service, a.address) < std::tie(b.service, b.address);
    });
    state->quarantined = quarantined;
    state->suspects = suspects;
    state->ready = true;
    server->publish(state);
}

TestSocket ProxyFixture::connect() const
{
    return TestSocket::connectTo(server->localEndpoint());
}

std::optional<TestMessage> ProxyFixture::call(const std::string &requestText) const
{
    auto socket = connect();
    socket.send(requestText);
    return socket.read(requestText.rfind("HEAD", 0) != 0);
}

std::string ProxyFixture::get(const std::string &path, const std::string &headers)
{
    return "GET " + path + " HTTP/1.1\r\nHost: rota.example\r\n" + headers + "\r\n";
}

std::string ProxyFixture::post(const std::string &path, const std::string &body, const std::string &headers)
{
    return "POST " + path + " HTTP/1.1\r\nHost: rota.example\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool ProxyFixture::waitUntil(const std::function<bool()> &condition)
{
    const auto until = std::chrono::steady_clock::now() + 5s;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(1ms);
    }
    return true;
}

} // namespace Hornbeam
