#pragma once

#include <hornbeam/base/backoff.h>
#include <hornbeam/base/endpoint.h>
#include <hornbeam/base/error.h>
#include <hornbeam/base/timerservice.h>

#include <string>
#include <vector>

namespace Hornbeam {

struct AdminCall
{
    std::string method = "GET";
    std::string path;
    std::string body{};
    bool retry = false; ///< Retry all nodes until the deadline while none gives a definitive reply.
};

struct AdminReply
{
    int status = 0;
    std::string body;
};

/**
 * Sends calls to the admin addresses of several nodes, in order, until one gives a definitive reply.
 * Every call of the operator API may be sent more than once: creating a plan does not change the configuration, and
 * confirming a plan is idempotent and returns the same reply each time.
 */
class AdminClient
{
public:
    /** @p deadline applies to all calls together. */
    AdminClient(std::vector<Endpoint> nodes, TimePoint deadline);

    /**
     * Returns the first definitive reply. Statuses 503 and 504 are not definitive: another node may reach the store.
     * Without a definitive reply, returns the last one received, or Unavailable with the reason of the last failure.
     */
    Result<AdminReply> send(const AdminCall &call);

    /** Time left until the deadline; zero when it has passed. */
    std::chrono::milliseconds remaining() const;

private:
    Result<AdminReply> sendRound(const AdminCall &call);
    Result<AdminReply> sendTo(const Endpoint &node, const AdminCall &call, std::chrono::milliseconds timeout) const;

    std::vector<Endpoint> m_nodes;
    TimePoint m_deadline;
};

} // namespace Hornbeam
