#include "controlserver.h"

#include "faultproxy.h"

#include <nlohmann/json.hpp>
#include <restinio/all.hpp>

namespace Hornbeam {

namespace {

using Json = nlohmann::json;
using Server = restinio::http_server_t<restinio::default_single_thread_traits_t>;

restinio::request_handling_status_t respond(const restinio::request_handle_t &request,
                                            restinio::http_status_line_t status,
                                            const Json &body)
{
    return request->create_response(std::move(status))
        .append_header(restinio::http_field::content_type, "application/json")
        .set_body(body.dump())
        .done();
}

restinio::request_handling_status_t handleControl(const restinio::request_handle_t &request, FaultProxy &proxy)
{
    const auto body = Json::parse(request->body(), nullptr, false);
    const auto result = proxy.control(body);
    if (result) {
        return respond(request, restinio::status_ok(), Json::object());
    }
    const bool malformed = result.error().code() == ErrorCode::InvalidArgument;
    return respond(request,
                   malformed ? restinio::status_bad_request() : restinio::status_conflict(),
                   {{"error", result.error().message()}});
}

restinio::request_handling_status_t handle(const restinio::request_handle_t &request, FaultProxy &proxy)
{
    const auto &header = request->header();
    if (header.method() == restinio::http_method_post() && header.path() == "/control") {
        return handleControl(request, proxy);
    }
    if (header.method() == restinio::http_method_get() && header.path() == "/control/stats") {
        return respond(request, restinio::status_ok(), proxy.statusJson());
    }
    return respond(request, restinio::status_not_found(), {{"error", "no such path or method"}});
}

class RestinioControlServer : public ControlServer
{
public:
    RestinioControlServer(asio::io_context &io, const Endpoint &listen, FaultProxy &proxy)
        : m_server(restinio::external_io_context(io), [&](auto &settings) {
            settings.address(listen.address()).port(listen.port()).request_handler([&proxy](auto request) {
                return handle(request, proxy);
            });
        })
    {
        m_server.open_sync();
    }

private:
    Server m_server;
};

} // namespace

Result<std::unique_ptr<ControlServer>> ControlServer::make(asio::io_context &io,
                                                           const Endpoint &listen,
                                                           FaultProxy &proxy)
{
    try {
        return std::make_unique<RestinioControlServer>(io, listen, proxy);
    } catch (const std::exception &error) {
        return makeError(ErrorCode::Unavailable, "cannot bind " + listen.toString() + ": " + error.what());
    }
}

} // namespace Hornbeam
