#pragma once

#include "cicadalb/base/Error.h"
#include "cicadalb/config/SiteSettings.h"
#include "cicadalb/services/TransactionalStore.h"
#include "cicadalb/site/SiteProtocol.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>

/// @file
/// A host process of a site whose targets register themselves and whose submissions are durable.

namespace cicadalb {

/// @brief Creates the store's client, which runs on the given executor.
using StoreFactory = std::function<std::unique_ptr<TransactionalStore>(boost::asio::any_io_executor, const Endpoint&)>;

/// @brief Serves callers, coordinates submissions, or both, as its settings say.
class SiteHost {
public:
    SiteHost(SiteSettings, std::unique_ptr<SiteProtocol>, const StoreFactory&);
    ~SiteHost();
    SiteHost(const SiteHost&) = delete;
    SiteHost& operator=(const SiteHost&) = delete;

    /// @brief Opens the ports and starts serving. Errors: Unavailable if a port cannot be opened.
    Result<void> start();
    /// @brief Applies the settings that may change while the process runs: the log level.
    void reload(const SiteSettings&);
    /// @brief Stops gracefully. @return false if the grace period ended with requests in flight
    bool shutDown();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace cicadalb
