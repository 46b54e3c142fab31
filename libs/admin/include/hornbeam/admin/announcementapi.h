#pragma once

#include <hornbeam/admin/announcement.h>
#include <hornbeam/base/error.h>

#include <vector>

namespace Hornbeam {

/** Registers the targets on this node's host as they announce themselves. Called on the control thread. */
class AnnouncementApi
{
public:
    virtual ~AnnouncementApi() = default;

    /** Adds, changes or refreshes a target and returns its registered state. */
    virtual Result<Target> announce(const Announcement &announcement) = 0;

    /** Removes a target. NotFound when it is unknown. */
    virtual Result<Target> withdraw(const Endpoint &address) = 0;

    /** Removes the target of that name, see TargetRegistry::withdraw(). NotFound when it is unknown. */
    virtual Result<Target> withdraw(const std::string &name, std::uint64_t lastInstance) = 0;

    /** The targets of all nodes that this node knows. */
    virtual std::vector<Target> knownTargets() const = 0;
};

} // namespace Hornbeam
