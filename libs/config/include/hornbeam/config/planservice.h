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

/** The configuration versions that the node knows of. */
class AppliedConfiguration
{
public:
    virtual ~AppliedConfiguration() = default;

    /** The version in effect on this node; version 0 until one is applied. */
    virtual SnapshotPtr applied() const = 0;

    /** The highest version that this node has applied or a peer has reported. */
    virtual ConfigVersion newestKnownVersion() const = 0;
};

/** Counts the nodes and targets of the fleet. */
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
    std::chrono::seconds planLifetime{3600}; ///< Time until a plan expires. 1..86400.
};

/** An accepted version. */
struct ConfirmedVersion
{
    ConfigVersion version = 0;
    SnapshotPtr snapshot; ///< Set when this confirm wrote the version; null when the plan had been confirmed before.
    std::optional<Delta> delta; ///< From the base to @c snapshot; set together with it.
};

/** The changes that a plan's intent would make to the version that has replaced the plan's base. */
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
 * Creates plans from intents, and puts them into effect by a compare-and-swap of the configuration head.
 *
 * The base of a plan is the store's version, or the one that the node has applied when that is higher. Otherwise a
 * store that was restored from a backup or returns stale data would roll the fleet back. The plan then has a notice.
 *
 * Confirming is idempotent. The plan's id is written together with the head; a confirm that is repeated, runs on two
 * nodes at once or follows a lost response detects by it that the plan has already taken effect.
 *
 * All functions are asynchronous. Control thread only. The referenced objects must outlive the service and its pending
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
     * Creates and stores a plan. A plan with refusals is also stored and can be read. Unavailable when the store cannot
     * be reached, or when a peer has reported a version that neither the store nor this node has.
     */
    void create(Intent intent, std::function<void(Result<Plan>)> callback);

    /** Reads a plan. NotFound for an unknown or expired one. */
    void read(const std::string &id, std::function<void(Result<Plan>)> callback);

    /**
     * Puts a plan into effect atomically. NotFound for an unknown or expired plan, InvalidArgument for a refused one,
     * Conflict when its base has been replaced, Unavailable when the plan could not take effect because of the store,
     * OutcomeUnknown when it may have taken effect: confirm the same plan again to find out.
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
