#pragma once

#include "cicadalb/services/HttpClient.h"

#include <nlohmann/json.hpp>

#include <optional>

/// @file
/// HTTP exchanges whose bodies are JSON, and typed reads of JSON members without exceptions.

namespace cicadalb {

struct JsonAnswer {
    unsigned status = 0;
    /// The parsed body; discarded if the body is not JSON.
    nlohmann::json body;
};

/// @brief Sends JSON to one server.
class JsonClient {
public:
    JsonClient(boost::asio::any_io_executor, Endpoint, HttpClientOptions);

    /// @brief One exchange. A null @p body sends none. Status 429 and 503 become Unavailable: the server did nothing.
    Task<Result<JsonAnswer>> exchange(std::string method, std::string target, nlohmann::json body, std::chrono::milliseconds timeout);
    /// @brief An exchange that changes nothing: an answer that is lost or not JSON becomes Unavailable or AnswerInvalid.
    Task<Result<JsonAnswer>> read(std::string target, std::chrono::milliseconds timeout);

    std::string place() const;

private:
    HttpClient m_client;
};

/// Deadline of a call that does not wait on the server.
inline constexpr std::chrono::milliseconds callTimeout { 2000 };

/// @brief Unsigned member @p name of @p object, if it is there.
std::optional<std::uint64_t> numberIn(const nlohmann::json& object, const char* name);
/// @brief Text member @p name of @p object, if it is there.
std::optional<std::string> textIn(const nlohmann::json& object, const char* name);
/// @brief Array member @p name of @p object, or null.
const nlohmann::json* arrayIn(const nlohmann::json& object, const char* name);

} // namespace cicadalb
