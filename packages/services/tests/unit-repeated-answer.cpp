#include "cicadalb/services/HttpClient.h"

#include "cicadalb/services/RepeatingServer.h"
#include "cicadalb/services/RunTask.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

struct RepeatedAnswerFixture {
    boost::asio::io_context context;
    RepeatingServer server { context };
    HttpClient client { context.get_executor(), Endpoint { "127.0.0.1", server.port() } };

    Result<HttpResponse> exchange(const std::string& id)
    {
        HttpRequest request;
        if (!id.empty()) {
            request.fields.emplace_back("Id", id);
            request.exchangeId = { id, "Id" };
        }
        const auto result = startTask(context.get_executor(), client.send(std::move(request), std::chrono::steady_clock::now() + 30s));
        while (!result->has_value() && context.run_one() > 0) { }
        REQUIRE(result->has_value());
        return std::move(**result);
    }

    unsigned statusOf(const std::string& id)
    {
        const auto answer = exchange(id);
        return answer ? answer.value().status : 0;
    }
};

} // namespace

// Review case 4: a refusal that came twice was taken for the answer to the second send of the same request.
TEST_CASE_METHOD(RepeatedAnswerFixture, "HttpClient: request is sent again under its id after a refusal that comes twice, gets its own answer")
{
    server.refusals = 1;
    CHECK(statusOf("a") == 503);
    CHECK(statusOf("a") == 200);
    CHECK(server.runs == 1);
    CHECK(server.connections == 2);
}

TEST_CASE_METHOD(RepeatedAnswerFixture, "HttpClient: request is sent again under its id after other requests, uses a connection that has not carried it")
{
    CHECK(statusOf("a") == 200);
    CHECK(statusOf("b") == 200);
    CHECK(server.connections == 1);
    CHECK(statusOf("a") == 200);
    CHECK(server.connections == 2);
    CHECK(statusOf("c") == 200);
    CHECK(server.connections == 2);
}

TEST_CASE_METHOD(RepeatedAnswerFixture, "HttpClient: second answer to an earlier request comes first, is skipped")
{
    server.refusals = 1;
    CHECK(statusOf("a") == 503);
    const auto answer = exchange("b");
    REQUIRE(answer);
    CHECK(answer.value().field("Id") == "b");
    CHECK(answer.value().body == "ok");
    CHECK(statusOf("c") == 200);
    CHECK(server.connections == 1);
    CHECK(server.runs == 2);
}

TEST_CASE_METHOD(RepeatedAnswerFixture, "HttpClient: answer states an id that was not sent on the connection, connection is not used again")
{
    server.statesForeignIds = true;
    const auto answer = exchange("a");
    REQUIRE(answer);
    CHECK(answer.value().field("Id") == "foreign");
    CHECK(client.idleConnections() == 0);
}

TEST_CASE_METHOD(RepeatedAnswerFixture, "HttpClient: connection has carried a request without an id, carries none with an id")
{
    CHECK(statusOf("") == 200);
    CHECK(statusOf("") == 200);
    CHECK(server.connections == 1);
    CHECK(statusOf("a") == 200);
    CHECK(server.connections == 2);
}
