#pragma once

#include <hornbeam/admin/announcement.h>
#include <hornbeam/base/error.h>

#include <functional>
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

    /**
     * Calls @p recorded once a restart of this node would not forget the targets that have left up to now, or after a
     * limited time if that cannot be ensured.
     */
    virtual void whenDeparturesRecorded(std::function<void()> recorded) = 0;

    /** The targets of all nodes that this node knows. */
    virtual std::vector<Target> knownTargets() const = 0;
};

} // namespace Hornbeam
