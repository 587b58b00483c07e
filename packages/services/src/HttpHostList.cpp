#include "cicadalb/services/HttpHostList.h"

#include "JsonClient.h"
#include "cicadalb/base/EnumTable.h"

namespace cicadalb {

namespace {

    constexpr auto hostStateNames = std::to_array<EnumName<HostState>>({
        { HostState::Live, "live" },
        { HostState::Leaving, "leaving" },
    });

    std::optional<ListedHost> parseHost(const nlohmann::json& json)
    {
        auto name = textIn(json, "name");
        auto address = textIn(json, "address");
        auto domain = textIn(json, "failure-domain");
        const auto stateName = textIn(json, "state");
        if (!name || !address || !domain || !stateName)
            return std::nullopt;
        const auto state = valueIn(hostStateNames, *stateName);
        if (!state)
            return std::nullopt;
        return ListedHost { std::move(*name), std::move(*address), FailureDomain(std::move(*domain)), *state };
    }

} // namespace

HttpHostList::HttpHostList(boost::asio::any_io_executor executor, Endpoint endpoint, HttpClientOptions options)
    : m_client(std::make_unique<JsonClient>(std::move(executor), std::move(endpoint), options))
{
}

HttpHostList::~HttpHostList() = default;

Task<Result<std::vector<ListedHost>>> HttpHostList::hosts()
{
    auto answer = co_await m_client->read("/hosts", callTimeout);
    if (!answer)
        co_return answer.as_failure();
    const auto* array = arrayIn(answer.value().body, "hosts");
    if (!array)
        co_return failure(ErrorCode::AnswerInvalid, "the answer has no array \"hosts\"", m_client->serverAddress());
    std::vector<ListedHost> hosts;
    for (const auto& element : *array) {
        auto host = parseHost(element);
        if (!host)
            co_return failure(ErrorCode::AnswerInvalid, "the answer holds an invalid host entry", m_client->serverAddress());
        hosts.push_back(std::move(*host));
    }
    co_return std::move(hosts);
}

} // namespace cicadalb
