#pragma once

#include <hornbeam/admin/adminrequest.h>

#include <optional>

namespace Hornbeam {

/** Resources that an environment adds to the admin server. Called on the control thread. */
class AdminExtension
{
public:
    virtual ~AdminExtension() = default;

    /** The response to a request for a resource of the extension; nothing for any other request. */
    virtual std::optional<AdminResponse> handle(const AdminRequest &request) = 0;
};

} // namespace Hornbeam
