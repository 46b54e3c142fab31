#include "soakcaller.h"

namespace Hornbeam {

namespace {

using std::chrono::milliseconds;
using namespace std::chrono_literals;

/** Longer than the nodes' request timeout, so that only a request without any response reaches it. */
constexpr milliseconds callTimeout = 30s;

/** The same after the deadline that a request states. */
constexpr milliseconds deadlineMargin = 5s;

/** A node rounds down the time that it leaves to the node of the target. */
constexpr milliseconds deadlineResolution = 1ms;

/** Whether the target responded to the request with this path. */
bool isResponseTo(const std::string &path, const Result<HttpResponse> &response)
{
    return response && response->body.find("\"path\":\"" + path + '"') != std::string::npos;
}

/** Whether the body is the one that the target stand-in sends for an export of this size. */
bool isExport(std::size_t bytes, const std::string &body)
{
    if (body.size() != bytes) {
        return false;
    }
    for (std::size_t i = 0; i < bytes; ++i) {
        if (body[i] != static_cast<char>('a' + i % 26)) {
            return false;
        }
    }
    return true;
}

} // namespace

SoakCaller::SoakCaller(SoakCallerOptions options,
                       const Mesh &mesh,
                       const NodeDisruptions &disruptions,
                       SoakChecker &checker)
    : m_options(std::move(options))
    , m_disruptions(disruptions)
    , m_checker(checker)
    , m_client(mesh.traffic(m_options.node))
{
}

void SoakCaller::read()
{
    const auto id = nextId();
    HttpRequest request;
    request.url = "/rota/" + id;
    request.headers = {"X-Request-Id: " + id};
    const auto response = send(request, id, true);
    checkBody(request, response, isResponseTo(request.url, response));
    m_checker.recordRead(m_options.name, id, response);
}

bool SoakCaller::book(const std::string &key, bool isOnly)
{
    HttpRequest request;
    request.method = "POST";
    request.url = "/bookings/" + key;
    request.headers = {"Idempotency-Key: " + key};
    request.body = "one slot";
    const auto response = send(request, key, isOnly);
    checkBody(request, response, isResponseTo(request.url, response));
    m_checker.recordBooking(key, response);
    return response && response->status == 200;
}

void SoakCaller::download(std::size_t bytes, milliseconds deadline)
{
    const auto id = nextId();
    HttpRequest request;
    request.url = "/exports/" + id;
    request.headers = {"X-Request-Id: " + id,
                       "X-Target-Behaviour: /export?bytes=" + std::to_string(bytes),
                       "X-Hornbeam-Deadline-Ms: " + std::to_string(deadline.count())};
    request.timeout = deadline + deadlineMargin;
    const auto response = send(request, id, true, deadline);
    checkBody(request, response, response && isExport(bytes, response->body));
    m_checker.recordDownload(id, response);
}

std::string SoakCaller::nextId()
{
    return m_options.name + '-' + std::to_string(++m_requests);
}

Result<HttpResponse> SoakCaller::send(const HttpRequest &request,
                                      const std::string &id,
                                      bool isOnly,
                                      milliseconds deadline)
{
    auto timed = request;
    if (deadline == milliseconds::max()) {
        timed.timeout = callTimeout;
    }
    if (!m_options.keepsConnection) {
        m_client.disconnect();
    }
    auto exchange = m_client.send(timed);
    if (exchange.end == ExchangeEnd::Complete) {
        return std::move(exchange.response);
    }
    const auto age = std::chrono::duration_cast<milliseconds>(exchange.ended - exchange.started);
    const auto text = request.method + ' ' + request.url + " to node " + std::to_string(m_options.node)
        + (exchange.isFirst ? " on a new connection: " : " on an open connection: ") + exchangeEndName(exchange.end)
        + " after " + std::to_string(age.count()) + " ms and " + std::to_string(exchange.response.body.size())
        + " bytes of the body" + m_disruptions.describeStop(m_options.node, exchange);
    const auto excuse = m_disruptions.excuse(m_options.node, exchange);
    const bool expired = exchange.end == ExchangeEnd::Truncated && age >= deadline - deadlineResolution;
    if (excuse == Excuse::None && !expired) {
        m_checker.addViolation(text);
    } else if (excuse == Excuse::PlannedStop && exchange.end != ExchangeEnd::NotConnected && isOnly) {
        m_checker.recordUnread(id, text);
    }
    const bool connected = exchange.end != ExchangeEnd::NotConnected;
    return makeError(connected ? ErrorCode::OutcomeUnknown : ErrorCode::Unavailable, text);
}

void SoakCaller::checkBody(const HttpRequest &request, const Result<HttpResponse> &response, bool matches)
{
    if (response && response->status == 200 && !matches) {
        m_checker.addViolation("node " + std::to_string(m_options.node) + " sent another or incomplete response to "
                               + request.url + ": " + response->body.substr(0, 200));
    }
}

} // namespace Hornbeam
