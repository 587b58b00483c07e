#include "JsonClient.h"

namespace cicadalb {

namespace {

    constexpr unsigned statusTooManyRequests = 429;
    constexpr unsigned statusUnavailable = 503;

    const nlohmann::json* memberOf(const nlohmann::json& object, const char* name)
    {
        if (!object.is_object())
            return nullptr;
        const auto found = object.find(name);
        return found == object.end() ? nullptr : &*found;
    }

} // namespace

JsonClient::JsonClient(boost::asio::any_io_executor executor, Endpoint endpoint, HttpClientOptions options)
    : m_client(std::move(executor), std::move(endpoint), options)
{
}

std::string JsonClient::serverAddress() const
{
    return m_client.endpoint().address + ":" + std::to_string(m_client.endpoint().port);
}

Task<Result<JsonAnswer>> JsonClient::exchange(std::string method, std::string target, nlohmann::json body, std::chrono::milliseconds timeout)
{
    HttpRequest request;
    request.method = std::move(method);
    request.target = std::move(target);
    if (!body.is_null()) {
        request.fields.emplace_back("Content-Type", "application/json");
        request.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    auto response = co_await m_client.send(std::move(request), deadline);
    if (!response)
        co_return response.as_failure();
    const auto status = response.value().status;
    if (status == statusTooManyRequests || status == statusUnavailable)
        co_return failure(ErrorCode::Unavailable, "server answered with status " + std::to_string(status), serverAddress());
    JsonAnswer answer;
    answer.status = status;
    answer.body = nlohmann::json::parse(response.value().body, nullptr, false);
    co_return std::move(answer);
}

Task<Result<JsonAnswer>> JsonClient::read(std::string target, std::chrono::milliseconds timeout)
{
    auto answer = co_await exchange("GET", std::move(target), nullptr, timeout);
    if (!answer && answer.error().code == ErrorCode::OutcomeUnknown)
        co_return failure(ErrorCode::Unavailable, answer.error().message, answer.error().where);
    if (!answer)
        co_return answer.as_failure();
    if (answer.value().status >= 300 && answer.value().status != 404)
        co_return failure(ErrorCode::AnswerInvalid, "server answered with status " + std::to_string(answer.value().status), serverAddress());
    co_return std::move(answer);
}

std::optional<std::uint64_t> numberIn(const nlohmann::json& object, const char* name)
{
    const auto* member = memberOf(object, name);
    if (!member || !member->is_number_unsigned())
        return std::nullopt;
    return member->get<std::uint64_t>();
}

std::optional<std::string> textIn(const nlohmann::json& object, const char* name)
{
    const auto* member = memberOf(object, name);
    if (!member || !member->is_string())
        return std::nullopt;
    return member->get<std::string>();
}

const nlohmann::json* arrayIn(const nlohmann::json& object, const char* name)
{
    const auto* member = memberOf(object, name);
    return member && member->is_array() ? member : nullptr;
}

} // namespace cicadalb
