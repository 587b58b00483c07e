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
/// HTTP client for trainers, which fails over between several hosts.

namespace cicadalb {

struct TrainerClientOptions {
    std::vector<Endpoint> hosts;
    std::string bearerToken;
    /// Longest time that a host may hold a pull while no sample is ready.
    std::chrono::milliseconds maximumPullWait { 1000 };
    /// Time limit of an HTTP exchange; a pull gets maximumPullWait in addition.
    std::chrono::milliseconds exchangeTimeout { 2000 };
    /// Delay before the hosts are tried again after each of them has failed.
    std::chrono::milliseconds retryDelay { 200 };
    std::size_t samplesPerPull = 256;
};

/// @brief Receives samples as they are accepted; returns the trainer's current weight version.
using SampleHandler = std::function<WeightVersion(std::vector<Sample>)>;

/// @brief Client of one trainer. Not thread-safe: use it from one strand.
class TrainerClient {
public:
    TrainerClient(boost::asio::any_io_executor, TrainerClientOptions, const Clock&, std::uint64_t seed);

    /// @brief Submits a step to the first host that accepts it. Errors: StepConflict and other refusals, DeadlineExceeded.
    Task<Result<SubmitReceipt>> submit(StepSpec, TimePoint deadline);

    /// @brief Pulls once for @p receiver from the first host that answers; resubmits @p spec if that host does not know it.
    /// @return the accepted samples; none if no sample was ready, the step was resubmitted, or the batch did not answer the current cursor
    Task<Result<std::vector<Sample>>> pull(const StepSpec& spec, StepReceiver& receiver, TimePoint deadline);

    /// @brief Submits a step and pulls until every sample has been given to @p handler exactly once.
    Task<Result<void>> receiveStep(StepSpec, WeightVersion, SampleHandler handler, TimePoint deadline);

    /// @brief Announces weights that are in the weight store. Idempotent.
    Task<Result<void>> announceWeights(WeightAnnouncement, TimePoint deadline);

private:
    Task<Result<std::vector<Sample>>> resubmit(StepSpec, TimePoint deadline);
    Task<Result<HttpResponse>> sendWithFailover(HttpRequest, std::chrono::milliseconds hostWait, TimePoint deadline);
    Task<Result<HttpResponse>> sendToCurrentHost(HttpRequest, std::chrono::milliseconds hostWait, TimePoint deadline);
    Task<void> waitBeforeRetry(TimePoint deadline);

    boost::asio::any_io_executor m_executor;
    TrainerClientOptions m_options;
    const Clock& m_clock;
    std::vector<std::unique_ptr<HttpClient>> m_hosts;
    std::size_t m_currentHost = 0;
    Random m_random;
};

} // namespace cicadalb
