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
/// Keeps a host's configuration up to date from the key-value service and from other hosts.

namespace cicadalb {

/// Hosts of each failure domain that watch the key-value service; the others learn from them.
inline constexpr std::size_t configurationWatchersPerFailureDomain = 3;

/// @brief True if @p self is one of the watchers of its failure domain, by rendezvous rank among the hosts that are live in its view.
/// A host that sees no other watches. Complexity: linear in the number of hosts.
bool isConfigurationWatcher(const HostId& self, const FailureDomain&, const std::vector<AssignableHost>& liveHosts);

/// @brief Times of the watch loop.
struct ConfigurationWatchTimes {
    /// How long one watch call waits for a change.
    std::chrono::milliseconds patience { 1000 };
    /// Pause after the first failed call; it doubles with each further one, with jitter.
    std::chrono::milliseconds firstPause { 100 };
    std::chrono::milliseconds longestPause { 1500 };
    /// How often a host that does not watch reads the refused edits and asks again whether it should watch.
    std::chrono::milliseconds refusedEditsInterval { 60000 };
    std::chrono::milliseconds recheckInterval { 500 };
};

/// @brief Counters of one watcher.
struct ConfigurationWatchCounters {
    /// Calls to the key-value service.
    std::uint64_t calls = 0;
    std::uint64_t failedCalls = 0;
    std::uint64_t adoptedFromService = 0;
    std::uint64_t adoptedFromHosts = 0;
    /// Records with the number in force but other content.
    std::uint64_t contradictions = 0;
    /// Records that could not be read.
    std::uint64_t unreadable = 0;
};

/// @brief Watches the accepted record and adopts records by rising number. offer() and the accessors are thread-safe.
class ConfigurationWatcher {
public:
    /// Called with each new record, one call at a time, by rising number; never with an older one.
    using AdoptHandler = std::function<void(std::shared_ptr<const AcceptedConfiguration>)>;
    /// Says whether this host watches the service at present.
    using WatchRule = std::function<bool()>;

    ConfigurationWatcher(boost::asio::any_io_executor, KeyValueService&, std::uint64_t seed, AdoptHandler, ConfigurationWatchTimes = {});

    /// @brief The watch loop; ends within one call after stop(). Run it once, on the executor.
    Task<void> run(WatchRule);
    void stop() noexcept { m_isStopping = true; }

    /// @brief A record that another host handed on, as recordText() gives it. Errors: those of acceptedConfigurationFromJson().
    Result<OfferOutcome> offer(std::string_view recordJson);

    ConfigurationNumber number() const;
    std::shared_ptr<const AcceptedConfiguration> current() const;
    /// @brief True if the record of a host that reports @p theirs is to be fetched.
    bool shouldFetch(ConfigurationNumber theirs) const;
    /// @brief The record in force for another host, or an empty text if @p theirs is not lower.
    std::string recordText(ConfigurationNumber theirs) const;

    ConfigurationWatchCounters counters() const;
    std::vector<RefusedEdit> refusedEdits() const;

private:
    enum class Source : std::uint8_t { Service,
        Host };

    /// @return false if the call failed
    Task<bool> watchOnce();
    Task<bool> readRefusedEdits();
    Task<void> idle(const WatchRule&);
    Task<void> wait(std::chrono::milliseconds);
    void take(const KeyValueEntry&);
    Result<OfferOutcome> adopt(std::string_view recordJson, Source);
    void countCall(bool isSuccess);
    std::chrono::milliseconds nextPause();

    boost::asio::any_io_executor m_executor;
    KeyValueService& m_service;
    Random m_random;
    AdoptHandler m_handler;
    ConfigurationWatchTimes m_times;
    std::atomic<bool> m_isStopping { false };
    /// Used by the loop only.
    Revision m_revision = 0;
    unsigned m_failuresInARow = 0;

    /// Held while a record is adopted and handed to the handler, so that handlers see rising numbers.
    std::mutex m_adoptMutex;
    mutable std::mutex m_mutex;
    ConfigurationState m_state;
    ConfigurationWatchCounters m_counters;
    std::vector<RefusedEdit> m_refusedEdits;
};

} // namespace cicadalb
