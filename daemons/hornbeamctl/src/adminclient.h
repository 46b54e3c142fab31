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
    bool repeat = false; ///< Ask all nodes again until the deadline when none gave a definite answer.
};

struct AdminReply
{
    int status = 0;
    std::string body;
};

/**
 * Sends calls to the admin ports of several nodes, in order, until one gives a definite answer.
 * Every call of the operator API may be sent more than once: making a plan has no effect, and confirming one has the
 * same effect and answer each time.
 */
class AdminClient
{
public:
    /** @p deadline bounds all calls together. */
    AdminClient(std::vector<Endpoint> nodes, TimePoint deadline);

    /**
     * Returns the first definite reply. Statuses 503 and 504 are not definite: another node may reach the store. When
     * there is none, returns the last such reply, or Unavailable with the reason of the last failure.
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
