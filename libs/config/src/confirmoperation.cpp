#include "confirmoperation.h"

namespace Hornbeam {

namespace {

// Attempts per confirm. Only a lost response or a replaced head requires another attempt, so a few are enough; the
// operator can confirm again.
constexpr int maxAttempts = 4;

// Garbage collection lists the keys of all pieces, about 10 KB for a configuration of 1 MB, so it does not run after
// every accepted version.
constexpr ConfigVersion versionsPerGarbageCollection = 8;

bool isOutcomeUnknown(const Error &error)
{
    return error.code() == ErrorCode::OutcomeUnknown;
}

} // namespace

ConfirmOperation::ConfirmOperation(KeyValueStore &store,
                                   ConfigRepository repository,
                                   const AppliedConfiguration &configuration,
                                   std::string planId,
                                   std::function<void(ConfirmResult)> callback)
    : m_store(store)
    , m_repository(repository)
    , m_planStore(store)
    , m_configuration(configuration)
    , m_planId(std::move(planId))
    , m_callback(std::move(callback))
{
}

void ConfirmOperation::start()
{
    Transaction read;
    read.success = stateReads();
    m_store.commit(std::move(read), [self = shared_from_this()](const Result<TransactionResult> &result) {
        self->stateReceived(result);
    });
}

std::vector<Operation> ConfirmOperation::stateReads() const
{
    return {Operation::get(ConfigRepository::headKey()),
            Operation::get(PlanStore::planKey(m_planId)),
            Operation::get(PlanStore::confirmedKey(m_planId))};
}

void ConfirmOperation::stateReceived(const Result<TransactionResult> &result)
{
    if (!result) {
        // The transaction only reads, so it cannot have had an effect even if its outcome is unknown.
        const auto &error = result.error();
        fail(isOutcomeUnknown(error) ? Error(ErrorCode::Unavailable, error.message()) : error);
        return;
    }
    if (parseState(result->results)) {
        decide();
    }
}

bool ConfirmOperation::parseState(const std::vector<OperationResult> &results)
{
    const auto &head = results.at(0).entries;
    const auto &plan = results.at(1).entries;
    const auto &confirmed = results.at(2).entries;
    m_head = ConfigHead::none();
    if (!head.empty()) {
        auto decoded = ConfigHead::decode(head.front().value, head.front().modRevision);
        if (!decoded) {
            fail(Error(ErrorCode::Internal, decoded.error().message()));
            return false;
        }
        m_head = *std::move(decoded);
    }
    m_planEntry.reset();
    if (!plan.empty()) {
        m_planEntry = plan.front();
    }
    m_confirmedVersion.reset();
    if (!confirmed.empty()) {
        const auto version = PlanStore::parseConfirmedVersion(confirmed.front().value);
        if (!version) {
            fail(version.error());
            return false;
        }
        m_confirmedVersion = *version;
    }
    return true;
}

void ConfirmOperation::decide()
{
    if (m_confirmedVersion) {
        succeed(*m_confirmedVersion);
        return;
    }
    if (m_head.planId == m_planId) {
        // The plan has expired, but the head shows that it has taken effect.
        succeed(m_head.version);
        return;
    }
    if (!m_planEntry) {
        fail(Error(ErrorCode::NotFound, "there is no such plan, or it has expired"));
        return;
    }
    if (m_proposal && m_proposal->previous.modRevision == m_head.modRevision) {
        tryAccept();
        return;
    }
    // The head is not the one that the proposal compares with, so no attempt to accept it has taken effect or still
    // can.
    m_outcomeUnknown = false;
    m_proposal.reset();
    if (m_plan) {
        resolveBase();
    } else {
        loadPlan();
    }
}

void ConfirmOperation::loadPlan()
{
    m_planStore.load(*m_planEntry, [self = shared_from_this()](Result<Plan> plan) {
        if (!plan) {
            self->fail(plan.error());
            return;
        }
        self->m_plan = *std::move(plan);
        if (!self->m_plan->refusals.empty()) {
            const auto &refusal = self->m_plan->refusals.front();
            self->fail(
                Error(ErrorCode::InvalidArgument, "the plan was refused: " + refusal.path + ": " + refusal.text));
            return;
        }
        self->resolveBase();
    });
}

void ConfirmOperation::resolveBase()
{
    resolveCurrentBase(m_repository, m_head, m_configuration, [self = shared_from_this()](Result<CurrentBase> base) {
        self->baseResolved(std::move(base));
    });
}

void ConfirmOperation::baseResolved(Result<CurrentBase> base)
{
    if (!base) {
        if (base.error().code() == ErrorCode::NotFound) {
            retry(Error(ErrorCode::Unavailable, "the configuration head was replaced during each attempt; try again"));
        } else {
            fail(base.error());
        }
        return;
    }
    const auto &current = *base->snapshot;
    if (current.version() != m_plan->baseVersion || current.contentDigest() != m_plan->baseDigest) {
        failWithConflict(current);
        return;
    }
    propose(*base);
}

void ConfirmOperation::propose(const CurrentBase &base)
{
    auto effect = m_plan->intent.applyTo(base.snapshot->content());
    auto target = Snapshot::make(base.nextVersion, std::move(effect.content));
    if (!target || (*target)->contentDigest() != m_plan->targetDigest) {
        fail(Error(ErrorCode::Internal, "applying the plan does not produce its target digest"));
        return;
    }
    m_proposal =
        ConfigProposal{.previous = m_head, .base = base.snapshot, .target = *std::move(target), .planId = m_planId};
    writePieces();
}

void ConfirmOperation::writePieces()
{
    m_repository.writePieces(*m_proposal, [self = shared_from_this()](const Result<bool> &written) {
        if (!written) {
            self->fail(written.error());
            return;
        }
        self->tryAccept();
    });
}

void ConfirmOperation::tryAccept()
{
    auto transaction = ConfigRepository::acceptTransaction(*m_proposal);
    const auto confirmedKey = PlanStore::confirmedKey(m_planId);
    transaction.compares.push_back(
        {.key = m_planEntry->key, .field = Compare::Field::CreateRevision, .revision = m_planEntry->createRevision});
    transaction.compares.push_back({.key = confirmedKey, .field = Compare::Field::CreateRevision, .revision = 0});
    const auto version = std::to_string(m_proposal->target->version());
    transaction.success.push_back(Operation::put(confirmedKey, version, m_planEntry->lease));
    transaction.failure = stateReads();
    m_store.commit(std::move(transaction), [self = shared_from_this()](const Result<TransactionResult> &result) {
        self->acceptCompleted(result);
    });
}

void ConfirmOperation::acceptCompleted(const Result<TransactionResult> &result)
{
    if (!result) {
        const auto &error = result.error();
        // The store returns NotFound when the plan's lease has expired.
        if (isOutcomeUnknown(error) || error.code() == ErrorCode::NotFound) {
            m_outcomeUnknown = m_outcomeUnknown || isOutcomeUnknown(error);
            retry(error);
        } else {
            fail(error);
        }
        return;
    }
    if (result->succeeded) {
        succeed(m_proposal->target->version());
    } else if (++m_attempts >= maxAttempts) {
        fail(Error(ErrorCode::Unavailable, "the configuration head was replaced during each attempt; try again"));
    } else if (parseState(result->results)) {
        decide();
    }
}

void ConfirmOperation::retry(const Error &error)
{
    if (++m_attempts >= maxAttempts) {
        fail(error);
        return;
    }
    start();
}

void ConfirmOperation::succeed(ConfigVersion version)
{
    ConfirmedVersion confirmed{.version = version, .snapshot = nullptr, .delta = std::nullopt};
    if (m_proposal && m_proposal->target->version() == version) {
        confirmed.snapshot = m_proposal->target;
        confirmed.delta = Delta::between(*m_proposal->base, *m_proposal->target);
        if (version % versionsPerGarbageCollection == 0) {
            m_repository.readHead([repository = m_repository](const Result<ConfigHead> &head) mutable {
                if (head) {
                    repository.collectGarbage(*head);
                }
            });
        }
    }
    m_callback(std::move(confirmed));
}

void ConfirmOperation::failWithConflict(const Snapshot &current)
{
    const auto effect = m_plan->intent.applyTo(current.content());
    ConfirmConflict conflict{.currentVersion = current.version(),
                             .changes = changesBetween(current.content(), effect.content),
                             .refusals = effect.refusals};
    m_callback(tl::unexpected(
        ConfirmFailure{.error = Error(ErrorCode::Conflict,
                                      "the plan is based on version " + std::to_string(m_plan->baseVersion)
                                          + ", but the current version is " + std::to_string(current.version())
                                          + "; create a new plan"),
                       .conflict = std::move(conflict)}));
}

void ConfirmOperation::fail(const Error &error)
{
    const auto code = m_outcomeUnknown ? ErrorCode::OutcomeUnknown : error.code();
    m_callback(tl::unexpected(ConfirmFailure{.error = Error(code, error.message()), .conflict = std::nullopt}));
}

} // namespace Hornbeam
