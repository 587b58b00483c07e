#include "cicadalb/services/HttpKeyValueService.h"

#include "JsonClient.h"

#include "cicadalb/services/PercentEncoding.h"

namespace cicadalb {

namespace {

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusNotFound = 404;
    constexpr unsigned statusConflict = 409;

    std::optional<KeyValueEntry> parseEntry(const nlohmann::json& json)
    {
        auto key = textIn(json, "key");
        auto value = textIn(json, "value");
        const auto revision = numberIn(json, "revision");
        if (!key || !value || !revision)
            return std::nullopt;
        return KeyValueEntry { std::move(*key), std::move(*value), *revision };
    }

    std::optional<std::vector<KeyValueEntry>> parseEntries(const nlohmann::json& json)
    {
        const auto* array = arrayIn(json, "entries");
        if (!array)
            return std::nullopt;
        std::vector<KeyValueEntry> entries;
        for (const auto& element : *array) {
            auto entry = parseEntry(element);
            if (!entry)
                return std::nullopt;
            entries.push_back(std::move(*entry));
        }
        return entries;
    }

    std::string leasePath(LeaseId lease) { return "/leases/" + std::to_string(lease); }

    /// Error of a write whose answer is invalid: the write may have taken effect.
    Error invalidWriteAnswer(const JsonAnswer& answer, std::string where)
    {
        return Error { ErrorCode::OutcomeUnknown, "unexpected answer to a write, status " + std::to_string(answer.status), std::move(where) };
    }

    Error invalidReadAnswer(std::string where) { return Error { ErrorCode::AnswerInvalid, "the answer lacks the expected JSON members", std::move(where) }; }

    auto toFailure(Error error) { return failure(error.code, std::move(error.message), std::move(error.where)); }

} // namespace

HttpKeyValueService::HttpKeyValueService(boost::asio::any_io_executor executor, Endpoint endpoint, HttpClientOptions options)
    : m_client(std::make_unique<JsonClient>(std::move(executor), std::move(endpoint), options))
{
}

HttpKeyValueService::~HttpKeyValueService() = default;

Task<Result<std::optional<KeyValueEntry>>> HttpKeyValueService::read(std::string key)
{
    std::string target = "/kv/" + percentEncoded(key);
    auto answer = co_await m_client->read(std::move(target), callTimeout);
    if (!answer)
        co_return answer.as_failure();
    if (answer.value().status == statusNotFound)
        co_return std::optional<KeyValueEntry>();
    auto entry = parseEntry(answer.value().body);
    if (!entry)
        co_return toFailure(invalidReadAnswer(m_client->serverAddress()));
    co_return std::move(entry);
}

Task<Result<std::vector<KeyValueEntry>>> HttpKeyValueService::list(std::string prefix)
{
    std::string target = "/kv?prefix=" + percentEncoded(prefix);
    auto answer = co_await m_client->read(std::move(target), callTimeout);
    if (!answer)
        co_return answer.as_failure();
    auto entries = parseEntries(answer.value().body);
    if (!entries)
        co_return toFailure(invalidReadAnswer(m_client->serverAddress()));
    co_return std::move(*entries);
}

Task<Result<Revision>> HttpKeyValueService::compareAndSwap(CompareAndSwap swap)
{
    std::string target = "/kv/" + percentEncoded(swap.key);
    nlohmann::json body { { "value", std::move(swap.value) }, { "expected", swap.expected }, { "lease", swap.lease } };
    auto answer = co_await m_client->exchange("PUT", std::move(target), std::move(body), callTimeout);
    if (!answer)
        co_return answer.as_failure();
    if (answer.value().status == statusConflict)
        co_return failure(ErrorCode::Conflict, "the key does not have the expected revision", swap.key);
    if (answer.value().status == statusNotFound)
        co_return failure(ErrorCode::LeaseLost, "the lease has expired", swap.key);
    const auto revision = numberIn(answer.value().body, "revision");
    if (answer.value().status != statusOk || !revision)
        co_return toFailure(invalidWriteAnswer(answer.value(), m_client->serverAddress()));
    co_return *revision;
}

Task<Result<LeaseId>> HttpKeyValueService::grantLease(std::chrono::milliseconds timeToLive)
{
    nlohmann::json body { { "ttl-ms", timeToLive.count() } };
    auto answer = co_await m_client->exchange("POST", "/leases", std::move(body), callTimeout);
    if (!answer)
        co_return answer.as_failure();
    const auto lease = numberIn(answer.value().body, "lease");
    if (answer.value().status != statusOk || !lease)
        co_return toFailure(invalidWriteAnswer(answer.value(), m_client->serverAddress()));
    co_return *lease;
}

Task<Result<void>> HttpKeyValueService::renewLease(LeaseId lease)
{
    std::string target = leasePath(lease) + "/renew";
    auto answer = co_await m_client->exchange("POST", std::move(target), nlohmann::json::object(), callTimeout);
    if (!answer)
        co_return answer.as_failure();
    if (answer.value().status == statusNotFound)
        co_return failure(ErrorCode::LeaseLost, "the lease has expired", std::to_string(lease));
    if (answer.value().status != statusOk)
        co_return toFailure(invalidWriteAnswer(answer.value(), m_client->serverAddress()));
    co_return success();
}

Task<Result<void>> HttpKeyValueService::releaseLease(LeaseId lease)
{
    std::string target = leasePath(lease);
    auto answer = co_await m_client->exchange("DELETE", std::move(target), nullptr, callTimeout);
    if (!answer)
        co_return answer.as_failure();
    const auto status = answer.value().status;
    if (status >= 300 && status != statusNotFound)
        co_return toFailure(invalidWriteAnswer(answer.value(), m_client->serverAddress()));
    co_return success();
}

Task<Result<WatchResult>> HttpKeyValueService::watch(std::string prefix, Revision after, std::chrono::milliseconds maximumWait)
{
    std::string target = "/watch?prefix=" + percentEncoded(prefix) + "&after=" + std::to_string(after);
    target += "&wait-ms=" + std::to_string(maximumWait.count());
    auto answer = co_await m_client->read(std::move(target), maximumWait + callTimeout);
    if (!answer)
        co_return answer.as_failure();
    auto entries = parseEntries(answer.value().body);
    const auto revision = numberIn(answer.value().body, "revision");
    if (!entries || !revision)
        co_return toFailure(invalidReadAnswer(m_client->serverAddress()));
    co_return WatchResult { std::move(*entries), *revision };
}

} // namespace cicadalb
