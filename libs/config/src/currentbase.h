#pragma once

#include <hornbeam/config/planservice.h>

#include <string>
#include <vector>

namespace Hornbeam {

/** The configuration that a new version has to start from. */
struct CurrentBase
{
    SnapshotPtr snapshot;
    std::vector<std::string> notices; ///< For the operator; empty in the usual case.
    ConfigVersion nextVersion = 1; ///< Above the store's version and the node's own one.
};

/**
 * Decides between the store's version and the node's own one, and loads the store's one when the node lacks it.
 * Unavailable when a peer reported a version that neither has. NotFound when the head was replaced meanwhile.
 */
void resolveCurrentBase(ConfigRepository &repository,
                        const ConfigHead &head,
                        const AppliedConfiguration &configuration,
                        std::function<void(Result<CurrentBase>)> callback);

} // namespace Hornbeam
