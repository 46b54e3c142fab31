#pragma once

#include <hornbeam/admin/adminrequest.h>

namespace Hornbeam {

/**
 * HTTP resources that are added to the admin server of a node which runs on a platform with interfaces of its own. The
 * server asks the extension about every request before it looks for a built-in resource. Called on the control thread.
 */
class AdminExtension
{
public:
    virtual ~AdminExtension() = default;

    /**
     * Handles a request for a resource of the extension and calls @p respond once, now or later. Returns false, and
     * does not call it, for any other request.
     */
    virtual bool handle(const AdminRequest &request, const AdminResponder &respond) = 0;
};

} // namespace Hornbeam
