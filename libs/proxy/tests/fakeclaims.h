#pragma once

#include <hornbeam/claims/claimcoordinator.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <vector>

namespace Hornbeam {

/** A claim coordinator that decides as the test sets it and records its calls. */
class FakeClaims : public ClaimCoordinator
{
public:
    /** Called in claim() before the decision is delivered, for example to delay it. */
    std::function<void()> beforeDecision;
    /** Defers callbacks until decidePending() is called. */
    std::atomic<bool> hold = false;
    ClaimDecision decision{.outcome = ClaimOutcome::Granted, .ticket = {}, .response = {}, .reason = {}};

    void claim(const Digest &identity, TimePoint deadline, std::function<void(ClaimDecision)> callback) override;
    void complete(const ClaimTicket &ticket, RecordedResponse response) override;
    void release(const ClaimTicket &ticket) override;
    void markUnknown(const ClaimTicket &ticket) override;

    /** Calls the deferred callbacks with the present decision. */
    void decidePending();

    std::vector<Digest> claimed() const;
    std::vector<RecordedResponse> completed() const;
    int released() const;
    int unknown() const;

private:
    mutable std::mutex m_mutex;
    std::vector<Digest> m_claimed;
    std::vector<RecordedResponse> m_completed;
    std::vector<std::function<void(ClaimDecision)>> m_pending;
    int m_released = 0;
    int m_unknown = 0;
};

} // namespace Hornbeam
