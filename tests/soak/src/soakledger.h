#pragma once

#include <hornbeam/testsupport/mesh.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Hornbeam {

/** What callers were told during a soak, and the promises that it breaks. Safe from any thread. */
class SoakLedger
{
public:
    /** Notes the answer to a read through @p node. Reads of a node are noted in the order in which they were sent. */
    void noteRead(int node, const Result<HttpResponse> &response);

    /** Notes one of the answers to the booking @p key. */
    void noteBooking(const std::string &key, const Result<HttpResponse> &response);

    /** Notes a version whose change was confirmed. */
    void noteConfirmed(std::uint64_t version);

    /** The newest version that was confirmed. */
    std::uint64_t confirmed() const;

    void addViolation(const std::string &text);

    /** Compares the bookings with what the targets executed. @p complete: no target has lost its counts. */
    void checkBookings(const Mesh &mesh, int targets, bool complete);

    std::vector<std::string> violations() const;

    /** Numbers of the answers, for the summary of a run. */
    std::string summary() const;

private:
    struct Booking
    {
        bool served = false; ///< An answer says that it was executed.
        bool onlyRefused = true; ///< Each answer says that it was not.
    };

    void addViolationLocked(const std::string &text);

    mutable std::mutex m_mutex;
    std::map<std::string, Booking> m_bookings;
    std::map<int, std::uint64_t> m_versions; ///< The highest version that each node has served.
    std::uint64_t m_confirmed = 0;
    std::uint64_t m_reads = 0;
    std::uint64_t m_servedReads = 0;
    std::vector<std::string> m_violations;
};

} // namespace Hornbeam
