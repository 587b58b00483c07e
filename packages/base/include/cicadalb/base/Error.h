#pragma once

#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// @file
/// Errors as values. Every error has a stable number, a message and the location that it concerns.

namespace cicadalb {

/// @brief Stable error numbers. A number is never reused; the hundreds digit stands for the area.
enum class ErrorCode : std::uint16_t {
    // 1xx: settings and configuration tables
    FileUnreadable = 101,
    SyntaxInvalid = 102,
    NameUnknown = 103,
    ValueInvalid = 104,
    ValueMissing = 105,
    NameRemoved = 106,
    TableEmptied = 107,
    ReferenceBroken = 108,
    CapacityLost = 109,
    BaseOutdated = 110,
    RecordTooLarge = 111,
    ProofInvalid = 112,
    // 2xx: platform services and HTTP exchanges
    NotSent = 201,
    OutcomeUnknown = 202,
    Conflict = 203,
    AnswerInvalid = 204,
    DeadlineExceeded = 205,
    Unavailable = 206,
    Cancelled = 207,
    LeaseLost = 208,
    HistoryLost = 209,
    // 3xx: membership
    DatagramInvalid = 301,
    HostUnknown = 302,
    // 4xx: routing
    RouteUnknown = 401,
    CallerUnknown = 402,
    CallerNotAllowed = 403,
    NoTargetAvailable = 404,
    Overloaded = 405,
    RetryBudgetSpent = 406,
    KeyReused = 407,
    KeyOutcomeUnknown = 408,
    RequestInvalid = 409,
    HostStopping = 410,
    // 5xx: rollout
    StepUnknown = 501,
    StepConflict = 502,
    CursorInvalid = 503,
    FenceRejected = 506,
    TrainerUnknown = 507,
    SubmissionInvalid = 508,
    RecordInvalid = 509,
    // 6xx: links between hosts
    PeerUnreachable = 601,
    PeerUnauthenticated = 602,
    MessageInvalid = 603,
};

/// @brief Name of @p code in kebab case, as used in problem documents and logs.
std::string_view name(ErrorCode code) noexcept;

/// @brief An error: its code, a message and the location.
struct Error {
    ErrorCode code;
    std::string message;
    /// The file and key, the address or the part of a request that the error concerns; may be empty.
    std::string where;
};

/// @brief Human-readable line, such as "error 104 value-invalid at routes.toml:3: ...".
std::string describe(const Error&);

/// @brief Either a value or an Error. Calling value() on an error violates its precondition and terminates the process.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// @brief Makes a failed Result of any type.
inline auto failure(ErrorCode code, std::string message, std::string where = {})
{
    return BOOST_OUTCOME_V2_NAMESPACE::failure(Error { code, std::move(message), std::move(where) });
}

/// @brief Makes a successful Result<void>.
inline auto success() { return BOOST_OUTCOME_V2_NAMESPACE::success(); }

} // namespace cicadalb
