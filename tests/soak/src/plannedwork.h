#pragma once

#include "disruptor.h"

#include <functional>
#include <future>
#include <map>
#include <optional>

namespace Hornbeam {

/**
 * Planned work on a mesh without faults: series of SIGTERM to several nodes at short intervals, each of which starts
 * again with other settings soon after it has exited, and series of SIGHUP. Series overlap. Reports a node that does
 * not exit with status 0 within its drain bound.
 */
class PlannedWork : public Disruptor
{
public:
    using Disruptor::Disruptor;

    std::chrono::milliseconds step() override;
    void finish() override;

    bool hasKilledTarget() const override
    {
        return false;
    }

    /** Settings patch of the nodes that are running when the work starts. */
    static nlohmann::json initialSettings();

private:
    struct NodeSettings
    {
        std::chrono::milliseconds stopNotice{500};
        std::chrono::milliseconds drainBound{4000};
        int linkMegabits = 8; ///< A link that downloads have to wait for.

        nlohmann::json toPatch() const;
    };

    struct Stop
    {
        TimePoint requested;
        std::future<TimePoint> exit; ///< Invalid once the exit has been checked.
    };

    void scheduleStops();
    void scheduleReloads();
    void after(std::chrono::milliseconds delay, std::function<void()> action);
    void runDueActions();
    void stop(int node);
    void checkExits();
    void checkExit(int node, TimePoint requested, TimePoint exited);
    void restart(int node);
    NodeSettings randomSettings();

    std::multimap<TimePoint, std::function<void()>> m_actions;
    std::map<int, Stop> m_stops; ///< Of the nodes that are not running.
    std::map<int, NodeSettings> m_settings; ///< Of the processes that have started.
    TimePoint m_nextStops;
    TimePoint m_nextReloads;
    bool m_finishing = false;
};

} // namespace Hornbeam
