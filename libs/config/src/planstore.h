#pragma once

#include <hornbeam/config/plan.h>
#include <hornbeam/store/keyvaluestore.h>

#include <chrono>
#include <string>
#include <vector>

namespace Hornbeam {

/**
 * Plans in the store, each with a lease:
 *
 *   /hornbeamring/plans/<id>            first part; written last
 *   /hornbeamring/plans/<id>/part/<n>   further parts of a large plan
 *   /hornbeamring/plans/<id>/confirmed  the version, decimal; written by the transaction that accepts it
 */
class PlanStore
{
public:
    template <typename T>
    using Callback = KeyValueStore::Callback<T>;

    explicit PlanStore(KeyValueStore &store);

    static std::string planKey(const std::string &id);
    static std::string confirmedKey(const std::string &id);

    /** Reads the value of a confirmed key. */
    static Result<ConfigVersion> parseConfirmed(const std::string &value);

    void write(const Plan &plan, std::chrono::seconds lifetime, Callback<bool> callback);

    /** Decodes the plan whose first part was read, after reading its further parts. NotFound when it expired. */
    void load(const KeyValue &firstPart, Callback<Plan> callback);

private:
    KeyValueStore &m_store;
};

} // namespace Hornbeam
