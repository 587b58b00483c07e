#pragma once

#include "cicadalb/services/HostList.h"
#include "cicadalb/services/HttpClient.h"

#include <memory>

/// @file
/// The host list over HTTP with JSON.

namespace cicadalb {

class JsonClient;

/// @brief Client of the host list. Thread-safe. A call ends within two seconds.
class HttpHostList final : public HostList {
public:
    HttpHostList(boost::asio::any_io_executor, Endpoint, HttpClientOptions = {});
    ~HttpHostList() override;
    HttpHostList(const HttpHostList&) = delete;
    HttpHostList& operator=(const HttpHostList&) = delete;

    Task<Result<std::vector<ListedHost>>> hosts() override;

private:
    std::unique_ptr<JsonClient> m_client;
};

} // namespace cicadalb
