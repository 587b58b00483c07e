#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Error.h"
#include "cicadalb/base/Random.h"
#include "cicadalb/base/Task.h"
#include "cicadalb/client/StepReceiver.h"
#include "cicadalb/rollout/Step.h"
#include "cicadalb/rollout/StepJson.h"
#include "cicadalb/services/HttpClient.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// @file
/// A trainer's access to the service over HTTP, through any of several entry hosts.

namespace cicadalb {

struct TrainerClientOptions {
    std::vector<Endpoint> hosts;
    std::string bearerToken;
    /// Longest wait of a pull on the host's side.
    std::chrono::milliseconds patience { 1000 };
    /// Added to the patience before an exchange is given up.
    std::chrono::milliseconds exchangeTimeout { 2000 };
    /// Pause after every host has failed once.
    std::chrono::milliseconds retryPause { 200 };
    std::size_t samplesPerPull = 256;
};

/// @brief Receives samples as they are accepted; returns the trainer's present weight version.
using SampleHandler = std::function<WeightVersion(std::vector<Sample>)>;

/// @brief Client of one trainer. Not thread-safe: use it from one strand.
class TrainerClient {
public:
    TrainerClient(boost::asio::any_io_executor, TrainerClientOptions, const Clock&, std::uint64_t seed);

    /// @brief Submits a step through the first host that takes it. Errors: StepConflict and other refusals, DeadlineExceeded.
    Task<Result<SubmitReceipt>> submit(StepSpec, TimePoint deadline);

    /// @brief One pull for @p receiver through one host; resubmits @p spec if the host does not know it.
    /// @return the accepted samples; none if nothing was ready or the answer did not fit the cursor
    Task<Result<std::vector<Sample>>> pull(const StepSpec& spec, StepReceiver& receiver, TimePoint deadline);

    /// @brief Submits a step and pulls until every sample has been given to @p handler exactly once.
    Task<Result<void>> receiveStep(StepSpec, WeightVersion, SampleHandler handler, TimePoint deadline);

    /// @brief Announces weights that are in the weight store. Repeatable.
    Task<Result<void>> announceWeights(WeightAnnouncement, TimePoint deadline);

private:
    Task<Result<std::vector<Sample>>> submitAgain(StepSpec, TimePoint deadline);
    Task<Result<HttpResponse>> exchange(HttpRequest, std::chrono::milliseconds wait, TimePoint deadline);
    Task<Result<HttpResponse>> exchangeOnce(HttpRequest, std::chrono::milliseconds wait, TimePoint deadline);
    Task<void> pause(TimePoint deadline);

    boost::asio::any_io_executor m_executor;
    TrainerClientOptions m_options;
    const Clock& m_clock;
    std::vector<std::unique_ptr<HttpClient>> m_hosts;
    std::size_t m_nextHost = 0;
    Random m_random;
};

} // namespace cicadalb
