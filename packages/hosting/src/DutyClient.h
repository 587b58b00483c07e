#pragma once

#include "cicadalb/base/Clock.h"
#include "cicadalb/base/Task.h"
#include "cicadalb/services/HttpClient.h"
#include "cicadalb/site/SiteProtocol.h"

#include <optional>

/// @file
/// Calls to the platform that one host at a time makes for the whole site.

namespace cicadalb {

/// @brief Sends calls to the platform's interface for duties. Whether the host may make a call is its user's to ask directly before it. Bound to
/// one event loop.
class DutyClient {
public:
    /// Time allowed for an answer. It is less than Coordination::orderMargin, so that a call that begins while the lease allows it has ended
    /// before the lease has.
    static constexpr std::chrono::milliseconds callTimeout { 600 };

    DutyClient(boost::asio::any_io_executor, const SiteProtocol&, Endpoint, const Clock&);

    /// @brief Sends a call once. @return NotExecuted if nothing of it was sent, Unknown if no answer came: the platform may execute it later
    Task<DutyOutcome> send(HttpRequest);
    /// @brief When the last call was sent; empty if none was.
    std::optional<TimePoint> lastCallAt() const noexcept { return m_lastCallAt; }

private:
    const SiteProtocol& m_protocol;
    const Clock& m_clock;
    std::shared_ptr<HttpClient> m_client;
    std::optional<TimePoint> m_lastCallAt;
};

} // namespace cicadalb
