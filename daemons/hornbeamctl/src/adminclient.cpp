#include "adminclient.h"

#include <curl/curl.h>

#include <algorithm>
#include <memory>
#include <thread>

namespace Hornbeam {

namespace {

using std::chrono::milliseconds;

// Lower bound of the timeout of one node, even when many nodes share the time until the deadline.
constexpr milliseconds minAttemptTimeout(200);

// Larger replies cannot come from a node: a configuration takes at most 8 MB in its compact form.
constexpr std::size_t maxReplyBytes = 256U << 20;

size_t appendToString(char *data, size_t size, size_t count, void *context)
{
    auto &text = *static_cast<std::string *>(context);
    if (text.size() + size * count > maxReplyBytes) {
        return 0;
    }
    text.append(data, size * count);
    return size * count;
}

bool isDefinitive(const Result<AdminReply> &reply)
{
    return reply && reply->status != 503 && reply->status != 504;
}

} // namespace

AdminClient::AdminClient(std::vector<Endpoint> nodes, TimePoint deadline)
    : m_nodes(std::move(nodes))
    , m_deadline(deadline)
{
}

milliseconds AdminClient::remaining() const
{
    const auto left = std::chrono::duration_cast<milliseconds>(m_deadline - std::chrono::steady_clock::now());
    return std::max(left, milliseconds(0));
}

Result<AdminReply> AdminClient::send(const AdminCall &call)
{
    Backoff backoff({.initial = milliseconds(100), .maximum = milliseconds(1000), .seed = 0});
    while (true) {
        auto reply = sendRound(call);
        if (isDefinitive(reply) || !call.retry || remaining() <= milliseconds(0)) {
            return reply;
        }
        std::this_thread::sleep_for(std::min<Duration>(backoff.next(), remaining()));
    }
}

Result<AdminReply> AdminClient::sendRound(const AdminCall &call)
{
    Result<AdminReply> last = makeError(ErrorCode::Unavailable, "no node was contacted");
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        // A node that accepts the connection but does not reply must leave time for the others and, with retries, for a
        // second round.
        const auto shares = static_cast<std::int64_t>((m_nodes.size() - i) * (call.retry ? 2 : 1));
        const auto timeout = std::max(remaining() / shares, minAttemptTimeout);
        auto reply = sendTo(m_nodes[i], call, timeout);
        if (isDefinitive(reply)) {
            return reply;
        }
        if (reply || !last) {
            last = std::move(reply);
        }
    }
    return last;
}

Result<AdminReply> AdminClient::sendTo(const Endpoint &node, const AdminCall &call, milliseconds timeout) const
{
    const std::unique_ptr<CURL, void (*)(CURL *)> curl(curl_easy_init(), curl_easy_cleanup);
    // Without the empty "Expect", libcurl waits for a "100 Continue" response before it sends a large body.
    std::unique_ptr<curl_slist, void (*)(curl_slist *)> headers(curl_slist_append(nullptr, "Expect:"),
                                                                curl_slist_free_all);
    headers.reset(curl_slist_append(headers.release(), "Content-Type: application/json"));
    const auto url = "http://" + node.toString() + call.path;
    AdminReply reply;
    curl_easy_setopt(curl.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl.get(), CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(curl.get(), CURLOPT_HTTPHEADER, headers.get());
    if (call.method != "GET") {
        curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDS, call.body.data());
        curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
    }
    curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, appendToString);
    curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &reply.body);
    curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(curl.get(), CURLOPT_NOSIGNAL, 1L);
    // Connects to nodes directly, whatever proxy the operator's environment sets.
    curl_easy_setopt(curl.get(), CURLOPT_PROXY, "");
    const auto code = curl_easy_perform(curl.get());
    if (code != CURLE_OK) {
        return makeError(ErrorCode::Unavailable, node.toString() + ": " + curl_easy_strerror(code));
    }
    long status = 0;
    curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
    reply.status = static_cast<int>(status);
    return reply;
}

} // namespace Hornbeam
