#pragma once

#include <hornbeam/admin/adminrequest.h>

#include <optional>

namespace Hornbeam {

/** HTTP resources that a deployment environment adds to the admin server. Called on the control thread. */
class AdminExtension
{
public:
    virtual ~AdminExtension() = default;

    /** Returns the response to a request for a resource of the extension, std::nullopt for any other request. */
    virtual std::optional<AdminResponse> handle(const AdminRequest &request) = 0;
};

} // namespace Hornbeam
