#pragma once

#include "cicadalb/base/Error.h"
#include "cicadalb/base/Task.h"
#include "cicadalb/services/HttpClient.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Calls between the processes of a site: CBOR in HTTP bodies.

namespace cicadalb {

struct HostCall {
    std::string_view path;
    std::string body;
    std::chrono::milliseconds timeout { 0 };
    /// See HttpRequest::mayRepeat.
    bool mayRepeat = false;
    /// Ends the call when its purpose is gone, or null.
    std::shared_ptr<HttpCancellation> cancellation = nullptr;
};

struct HostAnswer {
    std::string body;
    /// See HttpResponse::memory.
    std::shared_ptr<MessageMemory::Share> memory;
};

/// @brief Sends a call to another process. Errors: those of HttpClient, and Unavailable if it answers with an error status
Task<Result<HostAnswer>> callHost(std::shared_ptr<HttpClient>, HostCall);

/// @brief Returns the address of a process that changes from time to time; empty if there is none now.
using EndpointSource = std::function<std::optional<Endpoint>()>;

/// @brief Keeps a client for the process at the address that a source returns. Bound to one event loop.
class ChangingHostClient {
public:
    ChangingHostClient(boost::asio::any_io_executor, EndpointSource);

    /// @brief The client for the present address, or null if there is none.
    std::shared_ptr<HttpClient> client();

private:
    boost::asio::any_io_executor m_executor;
    EndpointSource m_source;
    std::optional<Endpoint> m_endpoint;
    std::shared_ptr<HttpClient> m_client;
};

/// @brief A client for each of the endpoints.
std::vector<std::shared_ptr<HttpClient>> makeHostClients(const boost::asio::any_io_executor&, const std::vector<Endpoint>&, const HttpClientOptions& = {});

} // namespace cicadalb
