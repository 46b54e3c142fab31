#include <hornbeam/admin/adminserver.h>
#include <hornbeam/admin/announcementapi.h>
#include <hornbeam/admin/operatorapi.h>
#include <hornbeam/admin/statusapi.h>
#include <hornbeam/testsupport/httpclient.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include <future>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Hornbeam;
using nlohmann::json;

namespace {

const std::string planId(32, 'a');

/** Runs callbacks in a later iteration of the event loop, which OperatorApi allows. */
class FakeOperatorApi : public OperatorApi
{
public:
    explicit FakeOperatorApi(asio::io_context &context)
        : m_context(context)
    {
    }

    void createPlan(Intent intent, std::function<void(Result<Plan>)> callback) override
    {
        Plan plan;
        plan.id = planId;
        plan.baseVersion = 4;
        plan.targetVersion = 5;
        plan.intent = std::move(intent);
        asio::post(m_context, [plan, callback] { callback(plan); });
    }

    void readPlan(const std::string &id, std::function<void(Result<Plan>)> callback) override
    {
        asio::post(m_context, [id, callback] { callback(makeError(ErrorCode::NotFound, "no plan " + id)); });
    }

    void confirmPlan(const std::string & /*id*/, std::function<void(ConfirmResult)> callback) override
    {
        asio::post(m_context, [this, callback] { callback(confirmResult); });
    }

    SnapshotPtr configuration() const override
    {
        return *Snapshot::make(4, {.services = {{.name = "rota"}}, .routes = {}, .leavingTargets = {}});
    }

    RolloutStatus rollout(ConfigVersion version) const override
    {
        return {.version = version,
                .knownNodes = 3,
                .nodesWithVersion = 2,
                .behind = {{.node = "n3", .zone = "turku", .version = version - 1}}};
    }

    ConfirmResult confirmResult = ConfirmedVersion{.version = 5, .snapshot = nullptr, .delta = std::nullopt};

private:
    asio::io_context &m_context;
};

class FakeAnnouncements : public AnnouncementApi
{
public:
    Result<Target> announce(const Announcement &announcement) override
    {
        target = announcement.target;
        return target;
    }

    Result<Target> withdraw(const Endpoint &address) override
    {
        if (address != target.address) {
            return makeError(ErrorCode::NotFound, "unknown target");
        }
        return target;
    }

    Result<Target> withdraw(const std::string &name, std::uint64_t /*lastInstance*/) override
    {
        return makeError(ErrorCode::NotFound, "no target " + name);
    }

    void whenDeparturesRecorded(std::function<void()> recorded) override
    {
        recorded();
    }

    std::vector<Target> knownTargets() const override
    {
        return {target};
    }

    Target target;
};

class FakeStatus : public StatusApi
{
public:
    std::string renderMetrics() const override
    {
        return "hornbeam_up 1\n";
    }

    std::string dumpJson() const override
    {
        return R"({"state":1})";
    }

    HealthStatus health() const override
    {
        return {.ready = false, .reason = "no configuration yet"};
    }
};

} // namespace

TEST_GROUP(AdminServer)
{
    asio::io_context context{1};
    FakeOperatorApi operators{context};
    FakeAnnouncements announcements;
    FakeStatus status;
    std::unique_ptr<AdminServer> server;
    std::thread thread;
    std::string base;

    void setup() override
    {
        auto made = AdminServer::make(context,
                                      {.listen = Endpoint("127.0.0.1", 0), .maxBodyBytes = 4U << 20},
                                      {operators, announcements, status});
        CHECK(made.has_value());
        server = *std::move(made);
        base = "http://" + server->localEndpoint().toString();
        thread = std::thread([this] {
            const auto work = asio::make_work_guard(context);
            context.run();
        });
    }

    void teardown() override
    {
        stopServer();
        context.stop();
        thread.join();
    }

    void stopServer()
    {
        std::promise<void> stopped;
        asio::post(context, [&] {
            server.reset();
            stopped.set_value();
        });
        stopped.get_future().wait();
    }

    HttpResponse send(const std::string &method, const std::string &path, const std::string &body = {})
    {
        HttpRequest request;
        request.method = method;
        request.url = base + path;
        request.headers = {"Expect:"};
        request.body = body;
        const auto response = sendHttp(request);
        CHECK_TEXT(response.has_value(), response ? "" : response.error().message().c_str());
        return *response;
    }

    void checkError(const HttpResponse &response, int httpStatus, const char *code, const char *path = "")
    {
        CHECK_EQUAL(httpStatus, response.status);
        const auto error = json::parse(response.body).at("error");
        STRCMP_EQUAL(code, error.at("code").get<std::string>().c_str());
        STRCMP_EQUAL(path, error.at("path").get<std::string>().c_str());
        CHECK(!error.at("message").get<std::string>().empty());
    }
};

TEST(AdminServer, servesPlans)
{
    const std::string intent = R"({"operations":[{"op":"removeRoute","name":"a"}]})";
    const auto created = send("POST", "/v1/plans", intent);
    CHECK_EQUAL(200, created.status);
    const auto plan = Plan::fromJson(created.body);
    CHECK(plan.has_value());
    CHECK_EQUAL(5, plan->targetVersion);
    const auto confirmed = send("POST", "/v1/plans/" + planId + "/confirm");
    CHECK_EQUAL(200, confirmed.status);
    CHECK_EQUAL(5, json::parse(confirmed.body).at("version").get<int>());
    checkError(send("GET", "/v1/plans/" + planId), 404, "not-found");
    checkError(send("GET", "/v1/plans/x"), 404, "not-found");
    checkError(send("GET", "/v1/plans"), 405, "method-not-allowed");
    checkError(send("GET", "/v1/plans/" + planId + "/confirm"), 405, "method-not-allowed");
}

// Guards against a conflict that does not tell the operator what changed, and against an unknown outcome that is
// reported as a plain failure.
TEST(AdminServer, reportsWhyAConfirmFailed)
{
    const auto path = "/v1/plans/" + planId + "/confirm";
    operators.confirmResult = tl::unexpected(ConfirmFailure{
        .error = Error(ErrorCode::Conflict, "replaced"),
        .conflict = ConfirmConflict{
            .currentVersion = 9,
            .changes = changesBetween({}, {.services = {{.name = "a"}}, .routes = {}, .leavingTargets = {}}),
            .refusals = {}}});
    const auto conflict = send("POST", path);
    checkError(conflict, 409, "conflict");
    CHECK(json::parse(conflict.body).contains("currentVersion"));
    CHECK_EQUAL(9, json::parse(conflict.body).at("currentVersion").get<int>());
    CHECK_EQUAL(1, json::parse(conflict.body).at("changes").size());
    const auto fail = [&](ErrorCode code) {
        operators.confirmResult =
            tl::unexpected(ConfirmFailure{.error = Error(code, "text"), .conflict = std::nullopt});
        return send("POST", path);
    };
    checkError(fail(ErrorCode::OutcomeUnknown), 504, "outcome-unknown");
    checkError(fail(ErrorCode::Unavailable), 503, "unavailable");
    checkError(fail(ErrorCode::NotFound), 404, "not-found");
}

TEST(AdminServer, servesConfigurationRolloutAndStatus)
{
    CHECK(json::parse(send("GET", "/v1/rollouts").body).at("steps").is_array());
    const auto config = json::parse(send("GET", "/v1/config").body);
    CHECK_EQUAL(4, config.at("version").get<int>());
    STRCMP_EQUAL("rota", config.at("services")[0].at("name").get<std::string>().c_str());
    const auto rollout = json::parse(send("GET", "/v1/rollout/5").body);
    CHECK_EQUAL(2, rollout.at("nodesWithVersion").get<int>());
    CHECK_FALSE(rollout.at("complete").get<bool>());
    STRCMP_EQUAL("n3", rollout.at("behind")[0].at("node").get<std::string>().c_str());
    checkError(send("GET", "/v1/rollout/5x"), 400, "invalid-argument");
    STRCMP_EQUAL("hornbeam_up 1\n", send("GET", "/metrics").body.c_str());
    STRCMP_EQUAL("{\"state\":1}", send("GET", "/dump").body.c_str());
    CHECK_EQUAL(503, send("GET", "/healthz").status);
    checkError(send("GET", "/other"), 404, "not-found");
    checkError(send("POST", "/dump"), 405, "method-not-allowed");
}

// Guards against targets that cannot announce or withdraw themselves, also with an IPv6 address whose brackets are
// percent-encoded, and against a host name that is accepted in place of an IP address.
TEST(AdminServer, acceptsAnnouncementsAndWithdrawalsByIpAddress)
{
    const std::string body = R"({"service":"rota","slots":2,"state":"serving","ttlMs":1000,"instance":6})";
    const auto announced = send("PUT", "/v1/targets/127.0.0.1:9000", body);
    CHECK_EQUAL(200, announced.status);
    CHECK(announcements.target.address == Endpoint("127.0.0.1", 9000));
    CHECK_EQUAL(1, json::parse(send("GET", "/v1/targets").body).at("targets").size());
    CHECK_EQUAL(200, send("DELETE", "/v1/targets/127.0.0.1:9000").status);
    checkError(send("DELETE", "/v1/targets/127.0.0.1:9001"), 404, "not-found");
    CHECK_EQUAL(200, send("PUT", "/v1/targets/%5B::1%5D:9000", body).status);
    CHECK(announcements.target.address == Endpoint("::1", 9000));
    checkError(send("PUT", "/v1/targets/host:1", body), 400, "invalid-argument");
}

// Guards against malformed input being accepted, or refused without the JSON path of the problem.
TEST(AdminServer, refusesMalformedBodies)
{
    checkError(send("POST", "/v1/plans", "{"), 400, "invalid-argument", "$");
    checkError(
        send("POST", "/v1/plans", R"({"operations":[{"op":"x"}]})"), 400, "invalid-argument", "$.operations[0].op");
    checkError(send("PUT", "/v1/targets/127.0.0.1:1", R"({"service":"a","slots":1,"state":"serving","ttlMs":0})"),
               400,
               "invalid-argument",
               "$.ttlMs");
    const auto both = send("POST", "/v1/plans", R"({"operations":[{"op":"x"},{"op":"y"}]})");
    CHECK_EQUAL(2, json::parse(both.body).at("problems").size());
}

// Guards against a large body that exhausts the node's memory. A body that exceeds the limit of 4 MiB by at most
// bodyMargin (64 KiB, see adminserver.cpp) gets status 413. The body of 6 MiB exceeds that too, so that RESTinio closes
// the connection without a response.
TEST(AdminServer, refusesBodiesAboveTheLimit)
{
    checkError(send("POST", "/v1/plans", std::string((4U << 20) + 1, ' ')), 413, "too-large");
    checkError(send("POST", "/v1/plans", std::string(4U << 20, ' ')), 400, "invalid-argument", "$");
    HttpRequest request{
        .method = "POST", .url = base + "/v1/plans", .headers = {"Expect:"}, .body = {}, .sourceAddress = {}};
    request.body = std::string(6U << 20, ' ');
    CHECK_FALSE(sendHttp(request).has_value());
}

TEST(AdminServer, refusesAListenAddressThatIsInUseOrInvalid)
{
    const auto again =
        AdminServer::make(context, {.listen = server->localEndpoint()}, {operators, announcements, status});
    CHECK_FALSE(again.has_value());
    CHECK(again.error().code() == ErrorCode::Unavailable);
    const auto invalid =
        AdminServer::make(context, {.listen = Endpoint("host", 1)}, {operators, announcements, status});
    CHECK(invalid.error().code() == ErrorCode::InvalidArgument);
}

// Guards against a destroyed server that still responds to requests on new connections.
TEST(AdminServer, stopsListeningWhenDestroyed)
{
    CHECK_EQUAL(200, send("GET", "/dump").status);
    stopServer();
    HttpRequest request{.method = "GET", .url = base + "/dump", .headers = {}, .body = {}, .sourceAddress = {}};
    CHECK_FALSE(sendHttp(request).has_value());
}
