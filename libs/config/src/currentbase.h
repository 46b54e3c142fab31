#pragma once

#include <hornbeam/config/planservice.h>

#include <string>
#include <vector>

namespace Hornbeam {

/** The configuration that a new version is based on. */
struct CurrentBase
{
    SnapshotPtr snapshot;
    std::vector<std::string> notices; ///< Warnings for the operator; usually empty.
    ConfigVersion nextVersion = 1; ///< Higher than the store's version and the one that the node has applied.
};

/**
 * Selects the store's version, or the one that the node has applied when that is higher, and loads the store's version
 * if the node does not have it. Unavailable when a peer has reported a version higher than both. NotFound when the head
 * was replaced in the meantime.
 */
void resolveCurrentBase(ConfigRepository &repository,
                        const ConfigHead &head,
                        const AppliedConfiguration &configuration,
                        std::function<void(Result<CurrentBase>)> callback);

} // namespace Hornbeam
