#pragma once

#include <hornbeam/config/configrepository.h>
#include <hornbeam/config/plan.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam {

/** What the node itself knows about configuration versions. */
class AppliedConfiguration
{
public:
    virtual ~AppliedConfiguration() = default;

    /** The version in effect on this node; version 0 before the first one. */
    virtual SnapshotPtr applied() const = 0;

    /** The highest version that this node or a peer reported. */
    virtual ConfigVersion newestKnownVersion() const = 0;
};

/** Counts the parts of the fleet that a plan concerns. */
class FleetView
{
public:
    virtual ~FleetView() = default;

    virtual std::size_t nodeCount() const = 0;

    /** Counts the targets that belong to one of the sorted services or have one of the sorted addresses. */
    virtual std::size_t targetCount(const std::vector<std::string> &services,
                                    const std::vector<Endpoint> &addresses) const = 0;
};

struct PlanServiceOptions
{
    std::chrono::seconds planLifetime{3600}; ///< A plan expires this long after it was made. 1..86400.
};

/** An accepted version. */
struct ConfirmedVersion
{
    ConfigVersion version = 0;
    SnapshotPtr snapshot; ///< Set when this call wrote it; null when it had been confirmed before.
    std::optional<Delta> delta; ///< Leads from the base to the snapshot; set together with it.
};

/** What the intent of a plan would change now that the plan's base has been replaced. */
struct ConfirmConflict
{
    ConfigVersion currentVersion = 0;
    std::vector<ConfigChange> changes;
    JsonProblems refusals;
};

struct ConfirmFailure
{
    Error error;
    std::optional<ConfirmConflict> conflict; ///< Set for Conflict, unless the current version could not be loaded.
};

using ConfirmResult = tl::expected<ConfirmedVersion, ConfirmFailure>;

/**
 * Makes plans from intents and puts them into effect by a compare-and-swap of the configuration head.
 *
 * The base of a plan is the store's version, or the node's own one when that is higher: a store that was restored from
 * a backup, or that answers with old data, does not take the fleet back. The plan then has a notice about it.
 *
 * Confirming is idempotent. The plan's id is written together with the head, so that a confirm that is repeated,
 * running on two nodes at once, or whose response was lost finds out what has already happened.
 *
 * All functions are asynchronous and belong to the control thread. The referenced objects outlive the service and its
 * calls.
 */
class PlanService
{
public:
    PlanService(KeyValueStore &store,
                const AppliedConfiguration &configuration,
                const FleetView &fleet,
                PlanServiceOptions options = {});

    /**
     * Makes and stores a plan. A plan with refusals is stored as well and can be read. Unavailable when the store
     * cannot be reached or neither the store nor this node has a version that a peer reported.
     */
    void create(Intent intent, std::function<void(Result<Plan>)> callback);

    /** Reads a plan. NotFound for an unknown or expired one. */
    void read(const std::string &id, std::function<void(Result<Plan>)> callback);

    /**
     * Puts a plan into effect, all of it or nothing. NotFound for an unknown or expired plan, InvalidArgument for a
     * refused one, Conflict when its base has been replaced, Unavailable when nothing has happened because of the
     * store, OutcomeUnknown when it may have taken effect: confirm the same plan again to find out.
     */
    void confirm(const std::string &id, std::function<void(ConfirmResult)> callback);

private:
    KeyValueStore &m_store;
    ConfigRepository m_repository;
    const AppliedConfiguration &m_configuration;
    const FleetView &m_fleet;
    PlanServiceOptions m_options;
};

} // namespace Hornbeam
