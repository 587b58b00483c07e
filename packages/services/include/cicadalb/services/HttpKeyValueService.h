#pragma once

#include "cicadalb/services/HttpClient.h"
#include "cicadalb/services/KeyValueService.h"

#include <memory>

/// @file
/// The key-value service over HTTP with JSON.

namespace cicadalb {

class JsonClient;

/// @brief Client of the key-value service. Thread-safe. A call ends within two seconds; a watch within its maximum wait plus two seconds.
class HttpKeyValueService final : public KeyValueService {
public:
    HttpKeyValueService(boost::asio::any_io_executor, Endpoint, HttpClientOptions = {});
    ~HttpKeyValueService() override;
    HttpKeyValueService(const HttpKeyValueService&) = delete;
    HttpKeyValueService& operator=(const HttpKeyValueService&) = delete;

    Task<Result<std::optional<KeyValueEntry>>> read(std::string key) override;
    Task<Result<std::vector<KeyValueEntry>>> list(std::string prefix) override;
    Task<Result<Revision>> compareAndSwap(CompareAndSwap) override;
    Task<Result<LeaseId>> grantLease(std::chrono::milliseconds timeToLive) override;
    Task<Result<void>> renewLease(LeaseId) override;
    Task<Result<void>> releaseLease(LeaseId) override;
    Task<Result<WatchResult>> watch(std::string prefix, Revision after, std::chrono::milliseconds maximumWait) override;

private:
    std::unique_ptr<JsonClient> m_client;
};

} // namespace cicadalb
