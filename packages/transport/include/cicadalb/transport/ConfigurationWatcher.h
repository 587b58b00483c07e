#pragma once

#include "cicadalb/base/Random.h"
#include "cicadalb/config/ConfigurationState.h"
#include "cicadalb/config/RefusedEdits.h"
#include "cicadalb/membership/Assignment.h"
#include "cicadalb/services/KeyValueService.h"

#include <boost/asio/any_io_executor.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

/// @file
/// Keeps a host's configuration up to date, from the key-value service and from other hosts.

namespace cicadalb {

/// Number of hosts in each failure domain that watch the key-value service; the other hosts fetch the configuration from hosts that have it.
inline constexpr std::size_t configurationWatchersPerFailureDomain = 3;

/// @brief True if @p self is one of the watchers of its failure domain, chosen by rendezvous hashing among @p liveHosts.
/// If the domain has at most configurationWatchersPerFailureDomain live hosts, all of them watch, and so does a host that sees none.
/// Complexity: linear in the number of hosts.
bool isConfigurationWatcher(const HostId& self, const FailureDomain&, const std::vector<AssignableHost>& liveHosts);

/// @brief Timeouts and intervals of the watch loop.
struct ConfigurationWatchTiming {
    /// How long one watch call waits for a change.
    std::chrono::milliseconds watchTimeout { 1000 };
    /// Backoff after the first failed call; doubles with each consecutive failure, with jitter.
    std::chrono::milliseconds initialBackoff { 100 };
    std::chrono::milliseconds maximumBackoff { 1500 };
    /// Interval at which a host that does not watch reads the refused edits.
    std::chrono::milliseconds refusedEditsInterval { 60000 };
    /// Interval at which a host that does not watch checks whether it should.
    std::chrono::milliseconds recheckInterval { 500 };
};

/// @brief Counters of one watcher.
struct ConfigurationWatchCounters {
    /// Calls to the key-value service.
    std::uint64_t calls = 0;
    std::uint64_t failedCalls = 0;
    std::uint64_t adoptedFromService = 0;
    std::uint64_t adoptedFromHosts = 0;
    /// Records that have the number in force but different content.
    std::uint64_t contradictions = 0;
    /// Records that could not be parsed.
    std::uint64_t unreadable = 0;
};

/// @brief Watches the record of the accepted configuration and adopts each record with a higher number. offer() and the accessors are thread-safe.
class ConfigurationWatcher {
public:
    /// Called with each adopted record, one call at a time and with ascending numbers.
    using AdoptHandler = std::function<void(std::shared_ptr<const AcceptedConfiguration>)>;
    /// Returns whether this host should watch the service at present.
    using WatchPredicate = std::function<bool()>;

    ConfigurationWatcher(boost::asio::any_io_executor, KeyValueService&, std::uint64_t seed, AdoptHandler, ConfigurationWatchTiming = {});

    /// @brief The watch loop; ends after stop(), once the service call or pause in progress is over. Run it once, on the executor.
    Task<void> run(WatchPredicate);
    void stop() noexcept { m_isStopping = true; }

    /// @brief Offers a record received from another host, as recordNewerThan() returns it. Errors: those of acceptedConfigurationFromJson().
    Result<OfferOutcome> offer(std::string_view recordJson);

    ConfigurationNumber number() const;
    std::shared_ptr<const AcceptedConfiguration> current() const;
    /// @brief True if the record should be fetched from a host that reports the number @p otherNumber.
    bool shouldFetch(ConfigurationNumber otherNumber) const;
    /// @brief The record in force as JSON text, or an empty text if its number is not higher than @p otherNumber.
    std::string recordNewerThan(ConfigurationNumber otherNumber) const;

    ConfigurationWatchCounters counters() const;
    std::vector<RefusedEdit> refusedEdits() const;

private:
    enum class Source : std::uint8_t { Service,
        Host };

    /// @return false if the call failed
    Task<bool> watchOnce();
    /// @return false if the call failed
    Task<bool> readRefusedEdits();
    Task<void> waitWithoutWatch(const WatchPredicate&);
    Task<void> sleepFor(std::chrono::milliseconds);
    void handleEntry(const KeyValueEntry&);
    Result<OfferOutcome> adopt(std::string_view recordJson, Source);
    void countCall(bool isSuccess);
    std::chrono::milliseconds nextBackoff();

    boost::asio::any_io_executor m_executor;
    KeyValueService& m_service;
    Random m_random;
    AdoptHandler m_handler;
    ConfigurationWatchTiming m_timing;
    std::atomic<bool> m_isStopping { false };
    /// Used only by the watch loop.
    Revision m_revision = 0;
    unsigned m_consecutiveFailures = 0;

    /// Locked while a record is adopted and passed to the handler, so that the handler receives ascending numbers.
    std::mutex m_adoptMutex;
    mutable std::mutex m_mutex;
    ConfigurationState m_state;
    ConfigurationWatchCounters m_counters;
    std::vector<RefusedEdit> m_refusedEdits;
};

} // namespace cicadalb
