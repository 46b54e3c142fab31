#pragma once

#include "targetload.h"

#include <string>

namespace Hornbeam {

class LoadBalancer;

/** A slot of a target; release() or destroying it frees the slot. */
class SlotLease
{
public:
    SlotLease() = default;
    SlotLease(LoadBalancer &balancer, std::string service, TargetLoadPtr load, TimePoint started);
    SlotLease(SlotLease &&other) noexcept;
    SlotLease &operator=(SlotLease &&other) noexcept;
    ~SlotLease();

    /** The target; only for a lease that holds a slot. */
    const Endpoint &address() const
    {
        return m_load->target.address;
    }

    const Target &target() const
    {
        return m_load->target;
    }

    /** Whether the target's own node, another one, admits the request and passes it on. */
    bool isRemote() const
    {
        return m_load->isRemote();
    }

    /** Frees the slot; the lease still tells which target it was. */
    void release();

    explicit operator bool() const
    {
        return m_load != nullptr;
    }

private:
    friend class LoadBalancer;

    void reset();

    LoadBalancer *m_balancer = nullptr;
    std::string m_service;
    TargetLoadPtr m_load;
    TimePoint m_started;
    bool m_released = false;
};

} // namespace Hornbeam
