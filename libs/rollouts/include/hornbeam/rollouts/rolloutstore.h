#pragma once

#include <hornbeam/rollouts/rolloutnetwork.h>
#include <hornbeam/rollouts/rolloutstep.h>
#include <hornbeam/store/keyvaluestore.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam {

struct RolloutStoreOptions
{
    std::string prefix = "hornbeamring/rollouts/"; ///< Of the keys with the newest step of each service.
    /** Of the keys that vanish a known time after an order, so that nodes that were all down learn how late it is. */
    std::string timerPrefix = "hornbeamring/rollout-timers/";
};

/** The step of one service in the store. */
struct StoredStep
{
    std::optional<RolloutStep> step; ///< Unset if there is none, or one that is malformed.
    std::int64_t revision = 0; ///< Of the last change of its key; 0 without a key.
};

/** The steps of all services. */
struct StoredSteps
{
    std::vector<RolloutStep> steps;
    std::int64_t revision = 0; ///< Of the store at the time of the read.
};

struct StepWriteOptions
{
    std::int64_t expectedRevision = 0; ///< StoredStep::revision that the write requires.
    bool withStatus = false; ///< Also write the state for the operators.
    LeaseId timer = 0; ///< Lease of the timer that is written with the step; 0 for none.
};

/**
 * The steps and the timers of roll-outs in the key-value store. Errors are those of KeyValueStore. Callbacks run on the
 * control thread, and not after the destruction of this object.
 */
class RolloutStore
{
public:
    template <typename T>
    using Callback = KeyValueStore::Callback<T>;

    /** The referenced objects must outlive this one. */
    RolloutStore(RolloutStoreOptions options, KeyValueStore &store, const RolloutStatusEncoder &status);
    ~RolloutStore();

    void readAll(Callback<StoredSteps> callback);

    /** @p mayBeStale: the step may be some seconds old; cheaper. */
    void read(const std::string &service, bool mayBeStale, Callback<StoredStep> callback);

    void write(const RolloutStep &step, const StepWriteOptions &options, Callback<TransactionResult> callback);

    /** Grants the lease of a timer that ends after @p duration; see StepWriteOptions::timer. */
    void grantTimer(std::chrono::seconds duration, Callback<LeaseGrant> callback);

    /** Reports whether the timer of the service still runs. */
    void readTimer(const std::string &service, Callback<bool> callback);

private:
    template <typename T>
    Callback<T> whileAlive(Callback<T> callback) const;

    const RolloutStoreOptions m_options;
    KeyValueStore &m_store;
    const RolloutStatusEncoder &m_status;
    std::shared_ptr<bool> m_alive;
};

} // namespace Hornbeam
