#include "callstages.h"

namespace Hornbeam {

CallStages::CallStages(TimePoint start)
    : m_entered(start)
{
}

void CallStages::enter(CallStage stage, TimePoint now)
{
    m_times[static_cast<std::size_t>(m_current)] += now - m_entered;
    m_current = stage;
    m_entered = now;
}

Duration CallStages::timeIn(CallStage stage, TimePoint now) const
{
    const auto past = m_times[static_cast<std::size_t>(stage)];
    return stage == m_current ? past + (now - m_entered) : past;
}

const char *callStageName(CallStage stage)
{
    switch (stage) {
    case CallStage::Slot:
        return "slot";
    case CallStage::Target:
        return "target";
    case CallStage::Body:
        return "body";
    case CallStage::Link:
        return "link";
    case CallStage::Caller:
        return "caller";
    }
    return "unknown";
}

} // namespace Hornbeam
