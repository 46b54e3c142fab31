#include <hornbeam/admin/adminserver.h>

#include "adminrouter.h"

#include <restinio/all.hpp>

#include <optional>

namespace Hornbeam {

namespace {

// Small limits suffice: the built-in resources take at most a plan id, a version or an address from the path, only an
// extension reads the query, and headers are not passed on to any resource.
constexpr std::size_t maxUrlBytes = 4096;
constexpr std::size_t maxHeaderNameBytes = 256;
constexpr std::size_t maxHeaderValueBytes = 8192;
constexpr std::size_t maxHeaders = 64;

// RESTinio closes the connection without a response when a body exceeds its limit. That limit is this much above
// AdminServerOptions::maxBodyBytes, so that AdminRouter can respond with status 413 to bodies in between. It does so
// for the built-in resources only: an extension is asked before the size is checked.
constexpr std::size_t bodyMargin = 64U << 10;

// Upper bounds of AdminServerOptions::maxBodyBytes and maxConnections.
constexpr std::size_t maxBodyBytesBound = 64U << 20;
constexpr std::size_t maxConnectionsBound = 10000;

// Timeouts of an idle connection and of a client that reads a large response slowly.
constexpr std::chrono::seconds idleTimeout(30);
constexpr std::chrono::seconds writeTimeout(30);

using RequestHandler = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;

struct ServerTraits
    : restinio::single_thread_traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t, RequestHandler>
{
    static constexpr bool use_connection_count_limiter = true; // NOLINT(readability-identifier-naming)
};

using HttpServer = restinio::http_server_t<ServerTraits>;

std::optional<unsigned char> hexValue(char c)
{
    if (c >= '0' && c <= '9') {
        return static_cast<unsigned char>(c - '0');
    }
    const auto lower = static_cast<char>(c | 0x20);
    if (lower >= 'a' && lower <= 'f') {
        return static_cast<unsigned char>(lower - 'a' + 10);
    }
    return std::nullopt;
}

/** Decodes percent-encoding; malformed escapes are kept unchanged. */
std::string decodePath(std::string_view path)
{
    std::string decoded;
    for (std::size_t i = 0; i < path.size(); ++i) {
        const auto high = path[i] == '%' && i + 2 < path.size() ? hexValue(path[i + 1]) : std::nullopt;
        const auto low = high ? hexValue(path[i + 2]) : std::nullopt;
        if (low) {
            decoded.push_back(static_cast<char>(*high << 4 | *low));
            i += 2;
        } else {
            decoded.push_back(path[i]);
        }
    }
    return decoded;
}

void sendResponse(const restinio::request_handle_t &request, AdminResponse response)
{
    const auto status =
        restinio::http_status_line_t(restinio::http_status_code_t(static_cast<std::uint16_t>(response.status)),
                                     response.status == 200 ? "OK" : "Error");
    auto builder = request->create_response(status);
    builder.append_header(restinio::http_field::content_type, std::move(response.contentType));
    builder.set_body(std::move(response.body));
    builder.done();
}

/** Passes the requests of all connections to the router. Outlives the server while connections are still open. */
class RequestAdapter
{
public:
    RequestAdapter(AdminDependencies dependencies, std::size_t maxBodyBytes)
        : m_router(std::in_place, dependencies, maxBodyBytes)
    {
    }

    restinio::request_handling_status_t handle(const restinio::request_handle_t &request)
    {
        if (!m_router) {
            return restinio::request_rejected();
        }
        const auto path = request->header().path();
        const auto query = request->header().query();
        const AdminRequest adminRequest{.method = request->header().method().c_str(),
                                        .path = decodePath({path.data(), path.size()}),
                                        .query = {query.data(), query.size()},
                                        .body = request->body()};
        m_router->handle(adminRequest,
                         [request](AdminResponse response) { sendResponse(request, std::move(response)); });
        return restinio::request_accepted();
    }

    /** Rejects all later requests. */
    void stop()
    {
        m_router.reset();
    }

private:
    std::optional<AdminRouter> m_router; ///< Empty after stop().
};

class RestinioAdminServer : public AdminServer
{
public:
    RestinioAdminServer(asio::io_context &context, const AdminServerOptions &options, AdminDependencies dependencies)
        : m_requestAdapter(std::make_shared<RequestAdapter>(dependencies, options.maxBodyBytes))
        , m_server(restinio::external_io_context(context), settings(options))
    {
        m_server.open_sync();
    }

    ~RestinioAdminServer() override
    {
        m_requestAdapter->stop();
        m_server.close_sync();
    }

    RestinioAdminServer(const RestinioAdminServer &) = delete;
    RestinioAdminServer &operator=(const RestinioAdminServer &) = delete;

    Endpoint localEndpoint() const override
    {
        return m_localEndpoint;
    }

private:
    restinio::server_settings_t<ServerTraits> settings(const AdminServerOptions &options)
    {
        restinio::server_settings_t<ServerTraits> settings;
        settings.address(asio::ip::make_address(options.listen.address()))
            .port(options.listen.port())
            .request_handler([adapter = m_requestAdapter](const restinio::request_handle_t &request) {
                return adapter->handle(request);
            })
            .acceptor_post_bind_hook([this](const asio::ip::tcp::acceptor &acceptor) {
                const auto local = acceptor.local_endpoint();
                m_localEndpoint = Endpoint(local.address().to_string(), local.port());
            })
            .max_parallel_connections(options.maxConnections)
            .max_pipelined_requests(1)
            .read_next_http_message_timelimit(idleTimeout)
            .handle_request_timeout(options.requestTimeout)
            .write_http_response_timelimit(writeTimeout)
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t()
                                          .max_url_size(maxUrlBytes)
                                          .max_field_name_size(maxHeaderNameBytes)
                                          .max_field_value_size(maxHeaderValueBytes)
                                          .max_field_count(maxHeaders)
                                          .max_body_size(options.maxBodyBytes + bodyMargin));
        return settings;
    }

    Endpoint m_localEndpoint;
    std::shared_ptr<RequestAdapter> m_requestAdapter;
    HttpServer m_server;
};

bool areValid(const AdminServerOptions &options)
{
    std::error_code ec;
    asio::ip::make_address(options.listen.address(), ec);
    return !ec && options.maxBodyBytes >= 1 && options.maxBodyBytes <= maxBodyBytesBound && options.maxConnections >= 1
        && options.maxConnections <= maxConnectionsBound && options.requestTimeout.count() > 0;
}

} // namespace

Result<std::unique_ptr<AdminServer>> AdminServer::make(asio::io_context &context,
                                                       AdminServerOptions options,
                                                       AdminDependencies dependencies)
{
    if (!areValid(options)) {
        return makeError(ErrorCode::InvalidArgument, "an option of the admin server is invalid");
    }
    // RESTinio reports a failed bind as an exception.
    try {
        return std::make_unique<RestinioAdminServer>(context, options, dependencies);
    } catch (const std::exception &exception) {
        return makeError(ErrorCode::Unavailable,
                         "cannot listen on " + options.listen.toString() + ": " + exception.what());
    }
}

} // namespace Hornbeam
