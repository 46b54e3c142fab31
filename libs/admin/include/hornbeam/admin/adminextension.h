#pragma once

#include <hornbeam/admin/adminrequest.h>

#include <optional>

namespace Hornbeam {

/**
 * HTTP resources that are added to the admin server of a node which runs on a platform with interfaces of its own. The
 * server asks the extension about every request before it looks for a built-in resource. Called on the control thread.
 */
class AdminExtension
{
public:
    virtual ~AdminExtension() = default;

    /** Returns the response to a request for a resource of the extension, std::nullopt for any other request. */
    virtual std::optional<AdminResponse> handle(const AdminRequest &request) = 0;
};

} // namespace Hornbeam
