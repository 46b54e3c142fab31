#include <hornbeam/rollouts/rolloutstore.h>

#include <utility>

namespace Hornbeam {

RolloutStore::RolloutStore(RolloutStoreOptions options, KeyValueStore &store, const RolloutStatusEncoder &status)
    : m_options(std::move(options))
    , m_store(store)
    , m_status(status)
    , m_alive(std::make_shared<bool>(true))
{
}

RolloutStore::~RolloutStore() = default;

template <typename T>
RolloutStore::Callback<T> RolloutStore::whileAlive(Callback<T> callback) const
{
    return [callback = std::move(callback), alive = std::weak_ptr(m_alive)](Result<T> result) {
        if (!alive.expired()) {
            callback(std::move(result));
        }
    };
}

void RolloutStore::readAll(Callback<StoredSteps> callback)
{
    m_store.range({.key = m_options.prefix, .prefix = true},
                  whileAlive<RangeResult>([callback = std::move(callback)](const Result<RangeResult> &range) {
                      if (!range) {
                          callback(tl::unexpected(range.error()));
                          return;
                      }
                      StoredSteps stored{.steps = {}, .revision = range->revision};
                      for (const auto &entry : range->entries) {
                          if (auto step = RolloutStep::decode(entry.value)) {
                              stored.steps.push_back(std::move(*step));
                          }
                      }
                      callback(std::move(stored));
                  }));
}

void RolloutStore::read(const std::string &service, bool mayBeStale, Callback<StoredStep> callback)
{
    m_store.range({.key = m_options.prefix + service, .mayBeStale = mayBeStale},
                  whileAlive<RangeResult>([callback = std::move(callback)](const Result<RangeResult> &range) {
                      if (!range) {
                          callback(tl::unexpected(range.error()));
                          return;
                      }
                      StoredStep stored;
                      if (!range->entries.empty()) {
                          const auto &entry = range->entries.front();
                          stored.revision = entry.modRevision;
                          if (auto step = RolloutStep::decode(entry.value)) {
                              stored.step = std::move(*step);
                          }
                      }
                      callback(std::move(stored));
                  }));
}

void RolloutStore::write(const RolloutStep &step, const StepWriteOptions &options, Callback<TransactionResult> callback)
{
    const auto key = m_options.prefix + step.service;
    Transaction transaction;
    transaction.compares.push_back(
        {.key = key, .field = Compare::Field::ModRevision, .revision = options.expectedRevision});
    transaction.success.push_back(Operation::put(key, step.encode()));
    if (options.timer != 0) {
        transaction.success.push_back(
            Operation::put(m_options.timerPrefix + step.service, std::to_string(step.order), options.timer));
    }
    if (const auto status = m_status.statusOf(step); options.withStatus && !status.key.empty()) {
        transaction.success.push_back(Operation::put(status.key, status.value));
    }
    m_store.commit(std::move(transaction), whileAlive<TransactionResult>(std::move(callback)));
}

void RolloutStore::grantTimer(std::chrono::seconds duration, Callback<LeaseGrant> callback)
{
    m_store.grantLease(duration, whileAlive<LeaseGrant>(std::move(callback)));
}

void RolloutStore::readTimer(const std::string &service, Callback<bool> callback)
{
    m_store.range({.key = m_options.timerPrefix + service},
                  whileAlive<RangeResult>([callback = std::move(callback)](const Result<RangeResult> &range) {
                      if (range) {
                          callback(!range->entries.empty());
                      } else {
                          callback(tl::unexpected(range.error()));
                      }
                  }));
}

} // namespace Hornbeam
