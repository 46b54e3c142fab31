#pragma once

#include "nodedisruptions.h"
#include "soakchecker.h"

#include <hornbeam/testsupport/mesh.h>
#include <hornbeam/testsupport/persistentclient.h>

#include <chrono>
#include <string>

namespace Hornbeam {

struct SoakCallerOptions
{
    std::string name; ///< Unique among the callers; prefix of the ids of its requests.
    int node = 0; ///< The node that it calls.
    bool keepsConnection = true; ///< Whether it uses its connection until the node ends it, or for one request.
};

/**
 * Sends requests to one node and reports to the checker each response that is missing, incomplete or not the response
 * to its request, unless the node is excused. Each request is unique, because nodes quarantine a request that several
 * targets were executing when they crashed. One thread only.
 */
class SoakCaller
{
public:
    SoakCaller(SoakCallerOptions options, const Mesh &mesh, const NodeDisruptions &disruptions, SoakChecker &checker);

    /** Sends an idempotent request with a small response. */
    void read();

    /** Sends a non-idempotent request. @p isOnly: whether no other request has this key. Returns whether it was served.
     */
    bool book(const std::string &key, bool isOnly);

    /** Sends an idempotent request with a response of @p bytes bytes and a deadline. */
    void download(std::size_t bytes, std::chrono::milliseconds deadline);

private:
    std::string nextId();

    /**
     * Sends the request. @p id: key under which a target records its execution. @p isOnly: whether no other request has
     * this id. @p deadline: time after which its response may be truncated.
     */
    Result<HttpResponse> send(const HttpRequest &request,
                              const std::string &id,
                              bool isOnly,
                              std::chrono::milliseconds deadline = std::chrono::milliseconds::max());

    /** Reports a response of status 200 that does not satisfy @p matches. */
    void checkBody(const HttpRequest &request, const Result<HttpResponse> &response, bool matches);

    SoakCallerOptions m_options;
    const NodeDisruptions &m_disruptions;
    SoakChecker &m_checker;
    PersistentClient m_client;
    int m_requests = 0;
};

} // namespace Hornbeam
