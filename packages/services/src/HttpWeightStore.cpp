#include "cicadalb/services/HttpWeightStore.h"

#include "JsonClient.h"

#include "cicadalb/services/PercentEncoding.h"

namespace cicadalb {

HttpWeightStore::HttpWeightStore(boost::asio::any_io_executor executor, Endpoint endpoint, HttpClientOptions options)
    : m_client(std::make_unique<JsonClient>(std::move(executor), std::move(endpoint), options))
{
}

HttpWeightStore::~HttpWeightStore() = default;

Task<Result<WeightVersion>> HttpWeightStore::latestVersion(std::string model)
{
    std::string target = "/weights/" + percentEncoded(model);
    auto answer = co_await m_client->read(std::move(target), callTimeout);
    if (!answer)
        co_return answer.as_failure();
    if (answer.value().status == 404)
        co_return failure(ErrorCode::NameUnknown, "the weight store has no such model", model);
    const auto version = numberIn(answer.value().body, "version");
    if (!version)
        co_return failure(ErrorCode::AnswerInvalid, "the answer has no number \"version\"", m_client->serverAddress());
    co_return *version;
}

} // namespace cicadalb
