#pragma once

#include <hornbeam/admin/adminrequest.h>
#include <hornbeam/admin/adminserver.h>

#include <string>

namespace Hornbeam {

/** Routes requests to the API interfaces and converts their results to responses. */
class AdminRouter
{
public:
    AdminRouter(AdminDependencies dependencies, std::size_t maxBodyBytes);

    void handle(const AdminRequest &request, AdminResponder respond);

private:
    void handlePlans(const AdminRequest &request, const std::string &subpath, AdminResponder respond);
    void createPlan(const AdminRequest &request, AdminResponder respond);
    void confirmPlan(const std::string &id, AdminResponder respond);
    AdminResponse handleTargets(const AdminRequest &request, const std::string &subpath);
    AdminResponse announce(const AdminRequest &request, const Endpoint &address);
    AdminResponse rollout(const std::string &version) const;
    AdminResponse targets() const;
    AdminResponse health() const;

    AdminDependencies m_dependencies;
    std::size_t m_maxBodyBytes;
};

} // namespace Hornbeam
