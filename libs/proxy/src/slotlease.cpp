#include "slotlease.h"

#include "loadbalancer.h"

#include <utility>

namespace Hornbeam {

SlotLease::SlotLease(LoadBalancer &balancer, std::string service, TargetLoadPtr load, TimePoint started)
    : m_balancer(&balancer)
    , m_service(std::move(service))
    , m_load(std::move(load))
    , m_started(started)
{
}

SlotLease::SlotLease(SlotLease &&other) noexcept
    : m_balancer(other.m_balancer)
    , m_service(std::move(other.m_service))
    , m_load(std::exchange(other.m_load, nullptr))
    , m_started(other.m_started)
    , m_released(other.m_released)
{
}

SlotLease &SlotLease::operator=(SlotLease &&other) noexcept
{
    if (this != &other) {
        reset();
        m_balancer = other.m_balancer;
        m_service = std::move(other.m_service);
        m_load = std::exchange(other.m_load, nullptr);
        m_started = other.m_started;
        m_released = other.m_released;
    }
    return *this;
}

SlotLease::~SlotLease()
{
    reset();
}

void SlotLease::release()
{
    if (m_load && !m_released) {
        m_released = true;
        m_balancer->release(m_service, *m_load, m_started);
    }
}

void SlotLease::reset()
{
    release();
    m_load = nullptr;
}

} // namespace Hornbeam
