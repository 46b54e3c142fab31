#pragma once

#include "targetload.h"

#include <string>

namespace Hornbeam {

class LoadBalancer;

/** Owns a slot of a target. The slot is freed by release() or the destructor. */
class SlotLease
{
public:
    SlotLease() = default;
    SlotLease(LoadBalancer &balancer, std::string service, TargetLoadPtr load, TimePoint started);
    SlotLease(SlotLease &&other) noexcept;
    SlotLease &operator=(SlotLease &&other) noexcept;
    ~SlotLease();

    /** Address of the target; not valid for an empty lease. */
    const Endpoint &address() const
    {
        return m_load->target.address;
    }

    const Target &target() const
    {
        return m_load->target;
    }

    /** Whether the request is sent to another node, which admits it and forwards it to the target. */
    bool isRemote() const
    {
        return m_load->isRemote();
    }

    /** When the slot was granted. */
    TimePoint started() const
    {
        return m_started;
    }

    /** Frees the slot; target() and address() stay valid. */
    void release();

    /** Whether the lease has a target, also after release(). */
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
