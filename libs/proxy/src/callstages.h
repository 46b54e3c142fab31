#pragma once

#include <hornbeam/base/timerservice.h>

#include <array>
#include <cstddef>

namespace Hornbeam {

/** What a request waits for. */
enum class CallStage {
    Slot, ///< Its body, a claim or a slot of a target.
    Target, ///< The head of the response.
    Body, ///< Further bytes of the response from the target or its node.
    Link, ///< The turn of its response on the host's link.
    Caller, ///< The caller, which does not read, or earlier responses on its connection.
};

/** Records how long a request has waited in each stage. Used on the thread of the request. */
class CallStages
{
public:
    /** The first stage is CallStage::Slot. */
    explicit CallStages(TimePoint start);

    void enter(CallStage stage, TimePoint now);

    CallStage current() const
    {
        return m_current;
    }

    /** Time spent in @p stage until @p now. */
    Duration timeIn(CallStage stage, TimePoint now) const;

private:
    static constexpr std::size_t stageCount = 5;

    CallStage m_current = CallStage::Slot;
    TimePoint m_entered;
    std::array<Duration, stageCount> m_times{};
};

/** Short name of @p stage for log entries. */
const char *callStageName(CallStage stage);

} // namespace Hornbeam
