#include <hornbeam/config/planservice.h>

#include "confirmoperation.h"
#include "currentbase.h"
#include "planstore.h"

#include <hornbeam/base/randomid.h>

#include <algorithm>

namespace Hornbeam {

namespace {

// Maximum number of attempts to read the store's version. An attempt reads the head (see ConfigHead) and then the
// pieces of the content, which the head lists. A confirm that runs in between can replace the head, and pieces that the
// new head does not list may be deleted.
constexpr int maxReadAttempts = 4;

/**
 * Adds the service or the address whose targets a change of @p resource affects. For a route this is only its
 * Route::service; the services of its splits are not added.
 */
void addAffectedServiceOrAddress(const std::optional<Resource> &resource,
                                 std::vector<std::string> &services,
                                 std::vector<Endpoint> &addresses)
{
    if (!resource) {
        return;
    }
    if (const auto *service = std::get_if<Service>(&*resource)) {
        services.push_back(service->name);
    } else if (const auto *route = std::get_if<Route>(&*resource)) {
        services.push_back(route->service);
    } else if (const auto *target = std::get_if<LeavingTarget>(&*resource)) {
        addresses.push_back(target->address);
    }
}

template <typename T>
void sortUnique(std::vector<T> &values)
{
    std::sort(values.begin(), values.end());
    values.erase(std::unique(values.begin(), values.end()), values.end());
}

PlanImpact impactOf(const std::vector<ConfigChange> &changes, const FleetView &fleet)
{
    std::vector<std::string> services;
    std::vector<Endpoint> addresses;
    for (const auto &change : changes) {
        addAffectedServiceOrAddress(change.before, services, addresses);
        addAffectedServiceOrAddress(change.after, services, addresses);
    }
    sortUnique(services);
    sortUnique(addresses);
    return {.proxies = fleet.nodeCount(), .targets = fleet.targetCount(services, addresses)};
}

Plan makePlan(Intent intent, const CurrentBase &base, const FleetView &fleet)
{
    Plan plan;
    plan.id = randomId();
    plan.baseVersion = base.snapshot->version();
    plan.baseDigest = base.snapshot->contentDigest();
    plan.targetVersion = base.nextVersion;
    plan.notices = base.notices;
    auto effect = intent.applyTo(base.snapshot->content());
    plan.intent = std::move(intent);
    plan.changes = changesBetween(base.snapshot->content(), effect.content);
    plan.refusals = std::move(effect.refusals);
    plan.impact = impactOf(plan.changes, fleet);
    if (plan.refusals.empty() && plan.changes.empty()) {
        plan.refusals.push_back({.path = "$.operations", .text = "change nothing"});
    }
    if (plan.refusals.empty()) {
        const auto target = Snapshot::make(base.nextVersion, std::move(effect.content));
        if (target) {
            plan.targetDigest = (*target)->contentDigest();
        } else {
            plan.refusals.push_back({.path = "$", .text = target.error().message()});
        }
    }
    return plan;
}

/** Reads the current base, then creates and writes a plan. Keeps itself alive until its callback has run. */
class CreatePlanOperation : public std::enable_shared_from_this<CreatePlanOperation>
{
public:
    CreatePlanOperation(KeyValueStore &store,
                        const AppliedConfiguration &configuration,
                        const FleetView &fleet,
                        PlanServiceOptions options,
                        Intent intent,
                        std::function<void(Result<Plan>)> callback)
        : m_repository(store)
        , m_planStore(store)
        , m_configuration(configuration)
        , m_fleet(fleet)
        , m_options(options)
        , m_intent(std::move(intent))
        , m_callback(std::move(callback))
    {
    }

    void start()
    {
        m_repository.readHead([self = shared_from_this()](const Result<ConfigHead> &head) {
            if (!head) {
                // InvalidArgument means malformed input, but it is the head in the store that is malformed.
                const auto &error = head.error();
                const bool malformed = error.code() == ErrorCode::InvalidArgument;
                self->m_callback(makeError(malformed ? ErrorCode::Internal : error.code(), error.message()));
                return;
            }
            self->resolveBase(*head);
        });
    }

private:
    void resolveBase(const ConfigHead &head)
    {
        auto resolved = [self = shared_from_this()](const Result<CurrentBase> &base) {
            if (base) {
                self->write(makePlan(std::move(self->m_intent), *base, self->m_fleet));
            } else if (base.error().code() != ErrorCode::NotFound) {
                self->m_callback(tl::unexpected(base.error()));
            } else if (++self->m_attempts < maxReadAttempts) {
                // NotFound: the head has been replaced and a piece that it lists deleted. Read the new head.
                self->start();
            } else {
                self->m_callback(makeError(ErrorCode::Unavailable,
                                           "the configuration head was replaced during each attempt; try again"));
            }
        };
        resolveCurrentBase(m_repository, head, m_configuration, std::move(resolved));
    }

    void write(Plan plan)
    {
        const auto planToWrite = std::make_shared<const Plan>(std::move(plan));
        m_planStore.write(*planToWrite,
                          m_options.planLifetime,
                          [self = shared_from_this(), planToWrite](const Result<bool> &written) {
                              if (!written) {
                                  self->m_callback(tl::unexpected(written.error()));
                                  return;
                              }
                              self->m_callback(*planToWrite);
                          });
    }

    ConfigRepository m_repository;
    PlanStore m_planStore;
    const AppliedConfiguration &m_configuration;
    const FleetView &m_fleet;
    PlanServiceOptions m_options;
    Intent m_intent;
    std::function<void(Result<Plan>)> m_callback;
    int m_attempts = 0;
};

Error unknownPlan()
{
    return {ErrorCode::NotFound, "there is no such plan, or it has expired"};
}

} // namespace

PlanService::PlanService(KeyValueStore &store,
                         const AppliedConfiguration &configuration,
                         const FleetView &fleet,
                         PlanServiceOptions options)
    : m_store(store)
    , m_repository(store)
    , m_configuration(configuration)
    , m_fleet(fleet)
    , m_options(options)
{
}

void PlanService::create(Intent intent, std::function<void(Result<Plan>)> callback)
{
    std::make_shared<CreatePlanOperation>(
        m_store, m_configuration, m_fleet, m_options, std::move(intent), std::move(callback))
        ->start();
}

void PlanService::read(const std::string &id, std::function<void(Result<Plan>)> callback)
{
    if (!isPlanId(id)) {
        callback(tl::unexpected(unknownPlan()));
        return;
    }
    Transaction read;
    read.success = {Operation::get(PlanStore::planKey(id)), Operation::get(PlanStore::confirmedKey(id))};
    auto received = [store = &m_store, callback = std::move(callback)](const Result<TransactionResult> &result) {
        if (!result) {
            // The transaction only reads, so it cannot have had an effect even if its outcome is unknown.
            const bool unknown = result.error().code() == ErrorCode::OutcomeUnknown;
            callback(makeError(unknown ? ErrorCode::Unavailable : result.error().code(), result.error().message()));
            return;
        }
        if (result->results.at(0).entries.empty()) {
            callback(tl::unexpected(unknownPlan()));
            return;
        }
        std::optional<ConfigVersion> confirmed;
        if (const auto &entries = result->results.at(1).entries; !entries.empty()) {
            const auto version = PlanStore::parseConfirmedVersion(entries.front().value);
            confirmed = version ? std::optional(*version) : std::nullopt;
        }
        PlanStore(*store).load(result->results.at(0).entries.front(), [confirmed, callback](Result<Plan> plan) {
            if (plan) {
                plan->confirmedVersion = confirmed;
            }
            callback(std::move(plan));
        });
    };
    m_store.commit(std::move(read), std::move(received));
}

void PlanService::confirm(const std::string &id, std::function<void(ConfirmResult)> callback)
{
    if (!isPlanId(id)) {
        callback(tl::unexpected(ConfirmFailure{.error = unknownPlan(), .conflict = std::nullopt}));
        return;
    }
    std::make_shared<ConfirmOperation>(m_store, m_repository, m_configuration, id, std::move(callback))->start();
}

} // namespace Hornbeam
