#pragma once

#include "currentbase.h"
#include "planstore.h"

#include <memory>
#include <optional>

namespace Hornbeam {

/**
 * One confirm of a plan. Keeps itself alive until its callback has run.
 *
 * Each round reads the head, the plan and its confirmed version in one transaction, so that they fit together, and then
 * either answers or tries the compare-and-swap. An attempt with unknown outcome leads to another round: if the head is
 * still the same, the same transaction is repeated, and at most one of the repetitions can succeed.
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
    void stateRead(const Result<TransactionResult> &result);
    bool parseState(const std::vector<OperationResult> &results);
    void decide();
    void loadPlan();
    void resolveBase();
    void baseResolved(Result<CurrentBase> base);
    void propose(const CurrentBase &base);
    void writePieces();
    void tryAccept();
    void acceptAnswered(const Result<TransactionResult> &result);
    void tryAgain(const Error &error);
    void succeed(ConfigVersion version);
    void failWithConflict(const Snapshot &current);
    void fail(const Error &error);

    KeyValueStore &m_store;
    ConfigRepository m_repository;
    PlanStore m_plans;
    const AppliedConfiguration &m_configuration;
    std::string m_planId;
    std::function<void(ConfirmResult)> m_callback;

    ConfigHead m_head;
    std::optional<KeyValue> m_planEntry;
    std::optional<ConfigVersion> m_confirmed;
    std::optional<Plan> m_plan;
    std::optional<ConfigProposal> m_proposal; ///< What the running or last attempt proposes.
    bool m_outcomeUnknown = false; ///< An attempt of the proposal may still take effect.
    int m_attempts = 0;
};

} // namespace Hornbeam
