#include "cicadalb/base/ByteBudget.h"

#include "cicadalb/base/Event.h"

#include <algorithm>
#include <string>
#include <utility>

namespace cicadalb {

namespace {

    using std::chrono::milliseconds;

    /// The rest is for the program, its records of the site, and buffers that are not counted.
    constexpr std::size_t budgetDivisor = 2;
    /// The last quarter of the budget is left to running requests.
    constexpr std::size_t admissionNumerator = 3;
    constexpr std::size_t admissionDenominator = 4;
    /// So many of the largest bodies fit at the same time.
    constexpr std::size_t largestBodies = 8;
    constexpr milliseconds rateWindow { 1000 };
    constexpr milliseconds shortestReturn { 100 };

    std::size_t index(ByteSide side) { return static_cast<std::size_t>(side); }

} // namespace

ByteLimits ByteLimits::ofProcess(std::size_t memory, Duration longestStall)
{
    ByteLimits limits;
    limits.total = memory / budgetDivisor;
    limits.admission = limits.total / admissionDenominator * admissionNumerator;
    limits.perConnection = limits.total / largestBodies;
    limits.longestStall = longestStall;
    return limits;
}

ByteBudget::ByteBudget(ByteLimits limits, const Clock& clock)
    : m_limits(limits)
    , m_clock(clock)
    , m_windowBegan(clock.now())
{
}

bool ByteBudget::SmallestFirst::operator()(const RoomWait* left, const RoomWait* right) const noexcept { return left->m_bytes < right->m_bytes; }

bool ByteBudget::admit(std::size_t bytes)
{
    // A body of the largest size passes if the process holds little, so that no request is refused for ever.
    if (held() + bytes <= m_limits.admission)
        return true;
    ++m_refused;
    if (!std::exchange(m_isRefusing, true))
        logEvent(Event::MemoryBoundReached, { { "callers-bytes", std::to_string(held(ByteSide::Callers)) }, { "targets-bytes", std::to_string(held(ByteSide::Targets)) }, { "bound", std::to_string(m_limits.total) }, { "paused", std::to_string(m_waits.size()) } });
    return false;
}

Duration ByteBudget::timeToReturn() const
{
    rotateWindows();
    const auto elapsed = m_clock.now() - m_windowBegan + rateWindow;
    const auto freed = m_freed + m_freedBefore;
    if (freed == 0)
        return m_limits.longestStall;
    const auto excess = held() > m_limits.admission ? held() - m_limits.admission : 0;
    const auto time = std::chrono::duration_cast<Duration>(elapsed * (static_cast<double>(excess) / static_cast<double>(freed)));
    return std::clamp<Duration>(time, std::min<Duration>(shortestReturn, m_limits.longestStall), m_limits.longestStall);
}

void ByteBudget::rotateWindows() const
{
    const auto now = m_clock.now();
    const auto age = now - m_windowBegan;
    if (age < rateWindow)
        return;
    m_freedBefore = age < 2 * rateWindow ? m_freed : 0;
    m_freed = 0;
    m_windowBegan = now;
}

void ByteBudget::add(ByteSide side, std::size_t bytes) { m_held[index(side)] += bytes; }

void ByteBudget::subtract(ByteSide side, std::size_t bytes)
{
    m_held[index(side)] -= bytes;
    rotateWindows();
    m_freed += bytes;
    if (m_isRefusing && held() <= m_limits.admission / 2) {
        m_isRefusing = false;
        logEvent(Event::MemoryBoundLifted, { { "refused", std::to_string(m_refused) }, { "ended-readers", std::to_string(m_endedReaders) } });
    }
    grantWaits();
}

void ByteBudget::grantWaits()
{
    while (!m_waits.empty()) {
        auto* wait = *m_waits.begin();
        if (!wait->m_hold.tryRaise(wait->m_bytes))
            return;
        m_waits.erase(m_waits.begin());
        wait->m_isGranted = true;
        // The wait may be destroyed by its owner as soon as it is told.
        const auto onGranted = std::move(wait->m_onGranted);
        onGranted();
    }
}

void ByteHold::set(std::size_t bytes)
{
    const auto before = std::exchange(m_bytes, bytes);
    if (!m_budget || before == bytes)
        return;
    if (bytes > before)
        m_budget->add(m_side, bytes - before);
    else
        m_budget->subtract(m_side, before - bytes);
}

bool ByteHold::tryRaise(std::size_t bytes)
{
    if (m_budget && bytes > m_bytes && !m_budget->fits(bytes - m_bytes))
        return false;
    set(std::max(bytes, m_bytes));
    return true;
}

RoomWait::RoomWait(ByteHold& hold, std::size_t bytes, std::function<void()> onGranted)
    : m_hold(hold)
    , m_bytes(bytes)
    , m_onGranted(std::move(onGranted))
    , m_isGranted(hold.tryRaise(bytes))
{
    if (!m_isGranted)
        hold.m_budget->m_waits.insert(this);
}

RoomWait::~RoomWait()
{
    if (m_isGranted)
        return;
    auto& waits = m_hold.m_budget->m_waits;
    const auto range = waits.equal_range(this);
    waits.erase(std::find(range.first, range.second, this));
}

} // namespace cicadalb
