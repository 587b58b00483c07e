#pragma once

#include "cicadalb/services/HttpClient.h"
#include "cicadalb/services/WeightStore.h"

#include <memory>

/// @file
/// The weight store over HTTP with JSON.

namespace cicadalb {

class JsonClient;

/// @brief Client of the weight store. Thread-safe. A call ends within two seconds.
class HttpWeightStore final : public WeightStore {
public:
    HttpWeightStore(boost::asio::any_io_executor, Endpoint, HttpClientOptions = {});
    ~HttpWeightStore() override;
    HttpWeightStore(const HttpWeightStore&) = delete;
    HttpWeightStore& operator=(const HttpWeightStore&) = delete;

    Task<Result<WeightVersion>> latestVersion(std::string model) override;

private:
    std::unique_ptr<JsonClient> m_client;
};

} // namespace cicadalb
