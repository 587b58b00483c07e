#pragma once

#include "DefaultRelease.h"
#include "SiteDirectory.h"

#include "cicadalb/base/ClockTimer.h"

#include <map>
#include <memory>

/// @file
/// The coordinator's upkeep of the default release of each route that is answered with streams.

namespace cicadalb {

/// @brief Writes with the condition that no other host has changed the record, so that two coordinators do no harm. Sites without such routes
/// cause no calls to the store. Bound to one event loop.
class DefaultReleases : public std::enable_shared_from_this<DefaultReleases> {
public:
    static constexpr std::chrono::milliseconds updateInterval { 500 };

    /// @param isFirstStart whether the whole site starts for the first time
    DefaultReleases(boost::asio::any_io_executor, TransactionalStore&, const SiteDirectory&, const Clock&, bool isFirstStart);

    void start();
    void stop() noexcept { m_isStopped = true; }
    /// @brief Brings the stored records up to date once.
    Task<void> update();

private:
    struct StoredDefault {
        DefaultRelease value;
        Revision revision = 0;
        /// Since when this process knows that the release is retired.
        TimePoint retiredSince;
    };

    Task<void> updatePeriodically();
    Task<Result<void>> readAll();
    Task<Result<void>> updateRoute(const SiteRoute&, bool mayHaveStreams);
    DefaultReleaseInput inputFor(const SiteRoute&, bool mayHaveStreams) const;

    boost::asio::any_io_executor m_executor;
    TransactionalStore& m_store;
    const SiteDirectory& m_directory;
    const Clock& m_clock;
    bool m_isFirstStart;
    /// By key, empty before the first read and after a write whose result is not known.
    std::optional<std::map<std::string, StoredDefault>> m_stored;
    bool m_isStopped = false;
};

} // namespace cicadalb
