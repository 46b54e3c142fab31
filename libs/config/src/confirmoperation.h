#pragma once

#include "currentbase.h"
#include "planstore.h"

#include <memory>
#include <optional>

namespace Hornbeam {

/**
 * Confirms a plan. Keeps itself alive until its callback has run.
 *
 * Each attempt reads the head, the plan and its confirmed version in one transaction, so that they are consistent, and
 * then either finishes or tries the compare-and-swap. If the outcome of the compare-and-swap is unknown, the next
 * attempt repeats the same transaction as long as the head is unchanged; at most one of the repetitions can succeed.
 */
class ConfirmOperation : public std::enable_shared_from_this<ConfirmOperation>
{
public:
    ConfirmOperation(KeyValueStore &store,
                     ConfigRepository repository,
                     const AppliedConfiguration &configuration,
                     std::string planId,
                     std::function<void(ConfirmResult)> callback);

    void start();

private:
    std::vector<Operation> stateReads() const;
    void stateReceived(const Result<TransactionResult> &result);
    bool parseState(const std::vector<OperationResult> &results);
    void decide();
    void loadPlan();
    void resolveBase();
    void baseResolved(Result<CurrentBase> base);
    void propose(const CurrentBase &base);
    void writePieces();
    void tryAccept();
    void acceptCompleted(const Result<TransactionResult> &result);
    void retry(const Error &error);
    void succeed(ConfigVersion version);
    void failWithConflict(const Snapshot &current);
    void fail(const Error &error);

    KeyValueStore &m_store;
    ConfigRepository m_repository;
    PlanStore m_planStore;
    const AppliedConfiguration &m_configuration;
    std::string m_planId;
    std::function<void(ConfirmResult)> m_callback;

    ConfigHead m_head;
    std::optional<KeyValue> m_planEntry;
    std::optional<ConfigVersion> m_confirmedVersion;
    std::optional<Plan> m_plan;
    std::optional<ConfigProposal> m_proposal; ///< The proposal of the current or the last attempt.
    bool m_outcomeUnknown = false; ///< An attempt to accept the proposal may have taken effect, or still may.
    int m_attempts = 0;
};

} // namespace Hornbeam
