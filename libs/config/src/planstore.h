#pragma once

#include <hornbeam/config/plan.h>
#include <hornbeam/store/keyvaluestore.h>

#include <chrono>
#include <string>
#include <vector>

namespace Hornbeam {

/**
 * Reads and writes plans in the store. Each plan has a lease, with which it expires. Key layout:
 *
 *   /hornbeamring/plans/<id>            first part of the plan; written last
 *   /hornbeamring/plans/<id>/part/<n>   further parts of a large plan
 *   /hornbeamring/plans/<id>/confirmed  accepted version, decimal; written with the head
 */
class PlanStore
{
public:
    template <typename T>
    using Callback = KeyValueStore::Callback<T>;

    explicit PlanStore(KeyValueStore &store);

    static std::string planKey(const std::string &id);
    static std::string confirmedKey(const std::string &id);

    /** Parses the value of a confirmedKey(). */
    static Result<ConfigVersion> parseConfirmedVersion(const std::string &value);

    void write(const Plan &plan, std::chrono::seconds lifetime, Callback<bool> callback);

    /** Reads the parts of a plan that follow @p firstPart and decodes it. NotFound when the plan has expired. */
    void load(const KeyValue &firstPart, Callback<Plan> callback);

private:
    KeyValueStore &m_store;
};

} // namespace Hornbeam
