#pragma once

#include "targetoptions.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace Hornbeam {

/** Announces the target to the node on its host and renews the announcement, on a separate thread. */
class Announcer
{
public:
    /** Starts announcing @p address unless the options name no admin API. The options must outlive the announcer. */
    Announcer(const TargetOptions &options, std::string address);
    ~Announcer();

    /** Announces the state "leaving" from now on. Does not block: the thread sends and renews the announcement. */
    void announceLeaving();

private:
    void run();
    bool send(const std::string &state) const;

    const TargetOptions &m_options;
    std::string m_address;
    std::uint64_t m_instance; ///< Start time; tells a restarted target from its predecessor at the same address.
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_leaving = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace Hornbeam
