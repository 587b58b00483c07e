#include "HostCommands.h"

#include "cicadalb/base/Hash.h"
#include "cicadalb/config/OperatorProof.h"
#include "cicadalb/config/Settings.h"
#include "cicadalb/services/HttpClient.h"

#include <optional>
#include <random>

namespace cicadalb {

namespace {

    using nlohmann::json;

    constexpr unsigned httpStatusOk = 200;
    /// Time limit for the response of one host.
    constexpr std::chrono::seconds responseTimeout { 3 };
    constexpr std::string_view statePath = "/state";

    std::int64_t unixSeconds()
    {
        return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    std::string newNonce()
    {
        std::random_device device;
        return std::to_string(device()) + std::to_string(device()) + std::to_string(device());
    }

    HttpRequest stateRequest(const std::optional<Secret>& secret)
    {
        HttpRequest request;
        request.target = statePath;
        if (!secret)
            return request;
        const auto proof = makeOperatorProof(*secret, { request.method, statePath }, unixSeconds(), newNonce());
        request.fields.emplace_back(std::string(operatorProofHeader), proof);
        return request;
    }

    Task<Result<json>> fetchState(boost::asio::any_io_executor executor, SocketAddress address, const std::optional<Secret>& secret)
    {
        HttpClient client(std::move(executor), Endpoint { address.address, address.port });
        auto request = stateRequest(secret);
        const auto deadline = std::chrono::steady_clock::now() + responseTimeout;
        auto response = co_await client.send(std::move(request), deadline);
        if (!response)
            co_return failure(ErrorCode::Unavailable, response.error().message, toText(address));
        if (response.value().status != httpStatusOk)
            co_return failure(ErrorCode::ProofInvalid, "answered with status " + std::to_string(response.value().status) + ": " + response.value().body, toText(address));
        auto state = json::parse(response.value().body, nullptr, false);
        if (!state.is_object())
            co_return failure(ErrorCode::AnswerInvalid, "the response is not a state dump (a JSON object)", toText(address));
        co_return state;
    }

    CommandOutcome makeOutcome(const HostStates& result, const char* jsonKey, json values)
    {
        CommandOutcome outcome;
        if (!result.errors.empty())
            outcome = failureOutcome(failureOutcome(result.errors.front()).exitCode, result.errors);
        outcome.text += values.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
        outcome.json[jsonKey] = std::move(values);
        return outcome;
    }

} // namespace

Task<HostStates> fetchStates(boost::asio::any_io_executor executor, HostOptions options)
{
    HostStates result;
    std::optional<Secret> secret;
    if (!options.secretFile.empty()) {
        const auto read = readSecretFile(options.secretFile);
        if (!read) {
            result.errors.push_back(read.error());
            co_return result;
        }
        secret = read.value();
    }
    for (const auto& host : options.adminAddresses) {
        const auto address = socketAddressFromText(host);
        if (!address) {
            result.errors.push_back({ ErrorCode::ValueInvalid, address.error().message, "--host" });
            continue;
        }
        auto state = co_await fetchState(executor, address.value(), secret);
        if (state)
            result.states[host] = std::move(state.value());
        else
            result.errors.push_back(state.error());
    }
    co_return result;
}

Task<CommandOutcome> stateCommand(boost::asio::any_io_executor executor, HostOptions options)
{
    auto result = co_await fetchStates(std::move(executor), std::move(options));
    co_return makeOutcome(result, "hosts", result.states);
}

Task<CommandOutcome> stepsCommand(boost::asio::any_io_executor executor, HostOptions options)
{
    auto result = co_await fetchStates(std::move(executor), std::move(options));
    auto steps = json::object();
    for (const auto& [host, state] : result.states.items())
        steps[host] = state.value("steps", json::array());
    co_return makeOutcome(result, "steps", std::move(steps));
}

} // namespace cicadalb
