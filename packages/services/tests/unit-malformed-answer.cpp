#include "cicadalb/services/HttpClient.h"

#include "cicadalb/services/RunTask.h"
#include "cicadalb/services/ScriptedServer.h"

#include <catch2/catch.hpp>

using namespace cicadalb;
using namespace std::chrono_literals;
using namespace std::string_literals;

namespace {

/// A client of a server that sends given bytes instead of an answer, and then closes the connection.
struct MalformedAnswerFixture {
    boost::asio::io_context context;
    ScriptedServer server { context };
    HttpClient client { context.get_executor(), Endpoint { "127.0.0.1", server.port() } };

    Result<HttpResponse> complete(const Pending<Result<HttpResponse>>& pending)
    {
        while (!pending->has_value() && context.run_one() > 0) { }
        REQUIRE(pending->has_value());
        return std::move(**pending);
    }

    Result<HttpResponse> send(std::string answer)
    {
        server.answers.push_back(std::move(answer));
        return complete(startTask(context.get_executor(), client.send({}, std::chrono::steady_clock::now() + 30s)));
    }

    Result<HttpResponse> stream(std::string answer)
    {
        server.answers.push_back(std::move(answer));
        HttpStreamHandler handler;
        handler.onPart = [](std::string_view) -> Task<bool> { co_return true; };
        return complete(startTask(context.get_executor(), client.stream({}, std::chrono::steady_clock::now() + 30s, std::move(handler))));
    }

    void checkRejected(const std::string& answer)
    {
        CAPTURE(answer);
        const auto sent = send(answer);
        CHECK_FALSE(sent);
        CHECK((sent || sent.error().code == ErrorCode::OutcomeUnknown));
        CHECK_FALSE(stream(answer));
    }

    void checkHeadsRejected(const std::vector<std::string>& heads)
    {
        for (const auto& head : heads)
            checkRejected(head + "\r\nContent-Length: 2\r\n\r\nok");
    }

    /// Each line stands between the status line and the Content-Length of an answer that is complete otherwise.
    void checkFieldLinesRejected(const std::vector<std::string>& lines)
    {
        for (const auto& line : lines) {
            checkRejected("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok");
            checkRejected("HTTP/1.1 200 OK\r\nX-First: 1\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok");
        }
    }

    void checkChunksRejected(const std::vector<std::string>& bodies)
    {
        for (const auto& body : bodies)
            checkRejected("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body);
    }

    /// Cuts the answer after each of its bytes but the last one.
    void checkCutsRejected(const std::string& answer)
    {
        REQUIRE(send(answer));
        for (std::size_t length = 0; length < answer.size(); ++length)
            checkRejected(answer.substr(0, length));
    }
};

} // namespace

// Guards against the status 000 of a faulty target, which callers received as the answer to their request.
TEST_CASE_METHOD(MalformedAnswerFixture, "HttpClient: status code outside 100 to 599 or malformed, is rejected")
{
    checkHeadsRejected({ "HTTP/1.1 000 None", "HTTP/1.1 001 None", "HTTP/1.1 099 None", "HTTP/1.1 600 None", "HTTP/1.1 999 None", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK",
        "HTTP/1.1 -20 OK", "HTTP/1.1 +20 OK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200OK", "HTTP/1.1 200", "HTTP/1.1 ", "HTTP/1.1" });
}

TEST_CASE_METHOD(MalformedAnswerFixture, "HttpClient: status line of another protocol or malformed, is rejected")
{
    checkHeadsRejected({ "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/9.1 200 OK", "HTTP/1 200 OK", "HTTP/11 200 OK", "HTTP/1.10 200 OK", "http/1.1 200 OK", "HTTP 200 OK", "ICY 200 OK", "RTSP/1.0 200 OK", " HTTP/1.1 200 OK",
        "\r\nHTTP/1.1 200 OK", "xHTTP/1.1 200 OK", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x7fK", "HTTP/1.1 200 O\0K"s, "HTTP/1.1 200 O\rK", "HTTP/1.1 101 Switching Protocols" });
}

// Guards against names with blanks or control characters, with which callers received the line or another body.
TEST_CASE_METHOD(MalformedAnswerFixture, "HttpClient: field name that is not a token, is rejected")
{
    checkFieldLinesRejected({ "X Bad: 1", "X-Bad : 1", "X-Bad\t: 1", ": 1", "X-Bad", "X\x01: 1", "X\x1f-Bad: 1", "X\x7f: 1", "X\0Bad: 1"s, "X\x80: 1", "X(Bad): 1", "X/Bad: 1", "X@Bad: 1", "X\"Bad: 1", "X[Bad]: 1", "{X}: 1", "X=Bad: 1", "X\rBad: 1" });
    checkRejected("HTTP/1.1 200 OK\r\n X-Bad: 1\r\nContent-Length: 2\r\n\r\nok");
    checkRejected("HTTP/1.1 200 OK\r\n\tX-Bad: 1\r\nContent-Length: 2\r\n\r\nok");
}

TEST_CASE_METHOD(MalformedAnswerFixture, "HttpClient: field value with a control character, is rejected")
{
    checkFieldLinesRejected({ "X-Bad: a\0b"s, "X-Bad: a\x01z", "X-Bad: a\rb", "X-Bad: a\x7fz", "X-Bad: \x1b[0m", "X-Bad: a\x0bz" });
}

TEST_CASE_METHOD(MalformedAnswerFixture, "HttpClient: length of the body that is malformed or contradictory, is rejected")
{
    for (const auto* value : { "2x", "+2", "-2", "", " ", "2 2", "2,3", "0x2", "2.0", "99999999999999999999999999", "18446744073709551618" })
        checkRejected("HTTP/1.1 200 OK\r\nContent-Length: " + std::string(value) + "\r\n\r\nok");
    checkRejected("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok1");
    checkRejected("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nok1");
    checkRejected("HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok");
}

TEST_CASE_METHOD(MalformedAnswerFixture, "HttpClient: transfer coding other than chunked or with a length, is rejected")
{
    const auto chunks = "\r\n\r\n2\r\nok\r\n0\r\n\r\n"s;
    for (const auto* value : { "gzip", "identity", "gzip, chunked", "chunked, gzip", "chunked, chunked", "xchunked", "chunkedx", "chunked;a=1", "", ",", "chunked chunked" })
        checkRejected("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + std::string(value) + chunks);
    checkRejected("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked" + chunks);
    checkRejected("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked" + chunks);
    checkRejected("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 12" + chunks);
    checkRejected("HTTP/1.1 200 OK\r\nContent-Length: 12\r\nTransfer-Encoding: chunked" + chunks);
    checkRejected("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok");
    checkRejected("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: identity\r\n\r\nok");
    checkRejected("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked" + chunks);
    checkRejected("HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked" + chunks);
}

TEST_CASE_METHOD(MalformedAnswerFixture, "HttpClient: chunk or trailer that is malformed, is rejected")
{
    checkChunksRejected({ "x\r\nok\r\n0\r\n\r\n", "\r\nok\r\n0\r\n\r\n", "-2\r\nok\r\n0\r\n\r\n", "+2\r\nok\r\n0\r\n\r\n", "0x2\r\nok\r\n0\r\n\r\n", " 2\r\nok\r\n0\r\n\r\n", "2x\r\nok\r\n0\r\n\r\n", "2 2\r\nok\r\n0\r\n\r\n",
        "10000000000000002\r\nok\r\n0\r\n\r\n", "2\r\nokk\r\n0\r\n\r\n", "2\r\nok0\r\n\r\n", "2\nok\n0\n\n", "2\r\nok\n0\r\n\r\n", "2\rok\r0\r\r", "2;a\x01=b\r\nok\r\n0\r\n\r\n", "2;\0\r\nok\r\n0\r\n\r\n"s, "2\0\r\nok\r\n0\r\n\r\n"s,
        "2;a=b\rc\r\nok\r\n0\r\n\r\n", "2;a=\"\x02\"\r\nok\r\n0\r\n\r\n", "2\r\nok\r\n0\r\nX Bad: 1\r\n\r\n", "2\r\nok\r\n0\r\nX-Bad : 1\r\n\r\n", "2\r\nok\r\n0\r\nX-Bad\r\n\r\n", "2\r\nok\r\n0\r\n: 1\r\n\r\n", "2\r\nok\r\n0\r\nX-Bad: a\x01z\r\n\r\n",
        "2\r\nok\r\n0\r\nX\x01: 1\r\n\r\n", "2\r\nok\r\n0\r\n X: 1\r\n\r\n" });
}

TEST_CASE_METHOD(MalformedAnswerFixture, "HttpClient: interim answers, are skipped until the final one")
{
    const auto final = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"s;
    for (const auto* interim : { "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "HTTP/1.1 100 \r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" }) {
        CAPTURE(interim);
        const auto answer = send(interim + final);
        REQUIRE(answer);
        CHECK(answer.value().status == 200);
        CHECK(answer.value().body == "ok");
        CHECK(answer.value().field("Link").empty());
        const auto streamed = stream(interim + final);
        REQUIRE(streamed);
        CHECK(streamed.value().status == 200);
    }
}

TEST_CASE_METHOD(MalformedAnswerFixture, "HttpClient: interim answer with a body or without a final answer, is rejected")
{
    checkRejected("HTTP/1.1 100 Continue\r\n\r\n");
    checkRejected("HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\nok");
    checkRejected("HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    checkRejected("HTTP/1.1 102 Processing\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    std::string endless;
    for (int i = 0; i < 1000; ++i)
        endless += "HTTP/1.1 100 Continue\r\n\r\n";
    checkRejected(endless + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
}

// Guards against heads that break off, which callers received as whole answers with an empty or short body.
TEST_CASE_METHOD(MalformedAnswerFixture, "HttpClient: connection closed within a head or a body, is rejected")
{
    checkCutsRejected("HTTP/1.1 200 OK\r\nX-Field: value\r\nContent-Length: 2\r\n\r\nok");
    checkCutsRejected("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Field: value\r\n\r\n");
    checkCutsRejected("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n3;a=b\r\nyes\r\n0\r\nX-Trailer: 1\r\n\r\n");
    checkCutsRejected("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok");
    checkCutsRejected("HTTP/1.1 204 No Content\r\nX-Field: value\r\n\r\n");
}

TEST_CASE_METHOD(MalformedAnswerFixture, "HttpClient: unusual answers that HTTP allows, are accepted")
{
    for (const auto* answer : { "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", "HTTP/1.0 599 Own\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 O\tK \xc3\xa9\r\nContent-Length: 2\r\n\r\nok",
             "HTTP/1.1 200 OK\r\nX-Empty:\r\nx!#$%&'*+-.^_`|~9:\ta \t\r\ncontent-length:2\r\n\r\nok", "HTTP/1.1 200 OK\r\nX-Text: caf\xc3\xa9\r\nContent-Length: 002\r\n\r\nok",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n02;a=\"b;c\";d\r\nok\r\n000\r\nX-Trailer: 1\r\n\r\n" }) {
        CAPTURE(answer);
        const auto response = send(answer);
        REQUIRE(response);
        CHECK(response.value().body == "ok");
    }
}
