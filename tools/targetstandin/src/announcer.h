#pragma once

#include "targetoptions.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

namespace Hornbeam {

/** Announces the target to the node on its host from a thread of its own and renews the announcement. */
class Announcer
{
public:
    Announcer(const TargetOptions &options, std::string address);
    ~Announcer();

    /** Announces that the target is leaving. Returns at once; the thread sends and repeats it. */
    void announceLeaving();

private:
    void run();
    bool send(const std::string &state) const;

    const TargetOptions &m_options;
    std::string m_address;
    std::uint64_t m_instance;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_leaving = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace Hornbeam
