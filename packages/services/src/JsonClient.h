#pragma once

#include "cicadalb/services/HttpClient.h"

#include <nlohmann/json.hpp>

#include <optional>

/// @file
/// HTTP exchanges with JSON bodies, and typed access to JSON members without exceptions.

namespace cicadalb {

struct JsonAnswer {
    unsigned status = 0;
    /// The parsed body; a discarded value (is_discarded()) if the body is not JSON.
    nlohmann::json body;
};

/// @brief Sends JSON to one server.
class JsonClient {
public:
    JsonClient(boost::asio::any_io_executor, Endpoint, HttpClientOptions);

    /// @brief Sends one request; no body is sent if @p body is null. Status 429 and 503 become Unavailable: the server did not process the request.
    Task<Result<JsonAnswer>> exchange(std::string method, std::string target, nlohmann::json body, std::chrono::milliseconds timeout);
    /// @brief Sends a GET request. A lost answer becomes Unavailable, since reading again is safe; a status of 300 or more, except 404, becomes
    /// AnswerInvalid.
    Task<Result<JsonAnswer>> read(std::string target, std::chrono::milliseconds timeout);

    std::string serverAddress() const;

private:
    HttpClient m_client;
};

/// Timeout of a call that the server answers at once; a watch adds its maximum wait.
inline constexpr std::chrono::milliseconds callTimeout { 2000 };

/// @brief Unsigned integer in the member @p name of @p object, if there is one.
std::optional<std::uint64_t> numberIn(const nlohmann::json& object, const char* name);
/// @brief String in the member @p name of @p object, if there is one.
std::optional<std::string> textIn(const nlohmann::json& object, const char* name);
/// @brief Array in the member @p name of @p object, or a null pointer.
const nlohmann::json* arrayIn(const nlohmann::json& object, const char* name);

} // namespace cicadalb
