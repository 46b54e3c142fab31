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
    /** Records the response to a read through @p node. Reads through one node must be recorded in the order sent. */
    void recordRead(int node, const Result<HttpResponse> &response);

    /** Records one of the responses to the booking @p key. */
    void recordBooking(const std::string &key, const Result<HttpResponse> &response);

    /** Records a confirmed version. */
    void recordConfirmed(std::uint64_t version);

    /** The newest confirmed version, or 0. */
    std::uint64_t confirmedVersion() const;

    void addViolation(const std::string &text);

    /**
     * Compares the recorded bookings with the execution counts of the first @p targets targets. @p complete means that
     * no target has lost its counts.
     */
    void checkBookings(const Mesh &mesh, int targets, bool complete);

    std::vector<std::string> violations() const;

    /** The numbers of reads and bookings, and the newest confirmed version. */
    std::string summary() const;

private:
    struct Booking
    {
        bool served = false; ///< A response had status 200.
        bool onlyRefused = true; ///< Every response had the outcome "not-run".
    };

    void addViolationLocked(const std::string &text);

    mutable std::mutex m_mutex;
    std::map<std::string, Booking> m_bookings;
    std::map<int, std::uint64_t> m_versions; ///< The highest version that each node has returned.
    std::uint64_t m_confirmedVersion = 0;
    std::uint64_t m_reads = 0;
    std::uint64_t m_servedReads = 0;
    std::vector<std::string> m_violations;
};

} // namespace Hornbeam
