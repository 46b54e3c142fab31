#pragma once

#include <hornbeam/testsupport/mesh.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Hornbeam {

/** Records the responses that callers received during a soak and checks them for violated guarantees. Thread-safe. */
class SoakChecker
{
public:
    // The error Unavailable means that no connection could be established.

    /** Records the response to a read. Reads of one @p caller must be recorded in the order sent. */
    void recordRead(const std::string &caller, const std::string &id, const Result<HttpResponse> &response);

    /** Records one of the responses to the booking @p key. */
    void recordBooking(const std::string &key, const Result<HttpResponse> &response);

    /** Records the response to a download. */
    void recordDownload(const std::string &id, const Result<HttpResponse> &response);

    /** Records a request that may have no response because no node has read it; @p text describes it. */
    void recordUnread(const std::string &id, const std::string &text);

    /** Records a confirmed version. */
    void recordConfirmed(std::uint64_t version);

    /** The newest confirmed version, or 0. */
    std::uint64_t confirmedVersion() const;

    /** Prints and keeps the description of a violation. */
    void addViolation(const std::string &text);

    /**
     * Compares the recorded requests with the execution counts of the first @p targets targets. @p complete means that
     * no target has lost its counts.
     */
    void checkExecutions(const Mesh &mesh, int targets, bool complete);

    std::vector<std::string> violations() const;

    /** The numbers of requests and the newest confirmed version. */
    std::string summary() const;

private:
    struct Request
    {
        bool mayRepeat = true; ///< The request is idempotent.
        bool served = false; ///< A response had status 200.
        bool onlyRefused = true; ///< Every response had the outcome "not-run".
        std::string unread = {}; ///< Why a response is missing, if no node may have read the request.
    };

    struct Count
    {
        std::uint64_t unreachable = 0; ///< Requests for which no connection could be established.
        std::uint64_t sent = 0; ///< The other requests.
        std::uint64_t answered = 0; ///< With any status.
        std::uint64_t served = 0; ///< With status 200.
    };

    /** Returns null if no connection could be established. */
    Request *recordLocked(const std::string &kind, const std::string &id, const Result<HttpResponse> &response);
    void checkLocked(const std::string &id, const Request &request, std::uint64_t executions, bool complete);
    void addViolationLocked(const std::string &text);

    mutable std::mutex m_mutex;
    std::map<std::string, Request> m_requests; ///< By id.
    std::map<std::string, Count> m_counts; ///< By kind of request.
    std::map<std::string, std::uint64_t> m_versions; ///< The highest version that each caller has received.
    std::uint64_t m_confirmedVersion = 0;
    std::vector<std::string> m_violations;
};

} // namespace Hornbeam
