#pragma once

#include <hornbeam/claims/claimcoordinator.h>

#include <functional>
#include <mutex>
#include <vector>

namespace Hornbeam {

/** A claim coordinator whose decisions a test sets and whose calls it counts. */
class FakeClaims : public ClaimCoordinator
{
public:
    /** Called in claim() before it answers; a test can let time pass here. */
    std::function<void()> beforeDecision;
    ClaimDecision decision{.outcome = ClaimOutcome::Granted, .ticket = {}, .response = {}, .reason = {}};

    void claim(const Digest &identity, TimePoint deadline, std::function<void(ClaimDecision)> callback) override;
    void complete(const ClaimTicket &ticket, RecordedResponse response) override;
    void release(const ClaimTicket &ticket) override;
    void markUnknown(const ClaimTicket &ticket) override;

    std::vector<Digest> claimed() const;
    std::vector<RecordedResponse> completed() const;
    int released() const;
    int unknown() const;

private:
    mutable std::mutex m_mutex;
    std::vector<Digest> m_claimed;
    std::vector<RecordedResponse> m_completed;
    int m_released = 0;
    int m_unknown = 0;
};

} // namespace Hornbeam
