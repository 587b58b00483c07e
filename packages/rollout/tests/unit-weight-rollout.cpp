#include "cicadalb/rollout/OrderPermit.h"
#include "cicadalb/rollout/WeightRegistry.h"
#include "cicadalb/rollout/WeightRollout.h"
#include "cicadalb/services/FakeKeyValueService.h"
#include "cicadalb/services/RunTask.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <vector>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

struct WeightRolloutFixture {
    WeightRolloutFixture()
    {
        std::vector<TargetId> engines;
        for (unsigned i = 0; i < 10; ++i)
            engines.emplace_back("e" + std::to_string(i));
        rollout.setEngines(engines);
        rollout.setDesiredVersion(3);
    }

    static WeightRolloutOptions options()
    {
        WeightRolloutOptions options;
        options.model = "draft-model";
        options.servingShare = 0.7;
        options.fenceCheck = FenceCheck::Checked;
        return options;
    }
    std::vector<PlannedOrder> nextOrders() { return rollout.nextOrders(fence, limiter, clock.now()); }
    void reportResult(const PlannedOrder& order, const Result<void>& result) { rollout.onOrderResult(order.engine, order.order, result, clock.now()); }

    ManualClock clock;
    WeightRollout rollout { options() };
    WeightLoadLimiter limiter { 100, 100, clock.now() };
    FencingNumber fence = 5;
};

} // namespace

TEST_CASE_METHOD(WeightRolloutFixture, "rollout, in progress, keeps the configured share of engines serving and ends with every engine swapped")
{
    for (unsigned round = 0; round < 4; ++round) {
        const auto orders = nextOrders();
        CHECK(orders.size() == (round == 3 ? 1 : 3));
        CHECK(nextOrders().empty());
        for (const auto& order : orders) {
            CHECK(order.order.fence == 5);
            reportResult(order, success());
        }
    }
    CHECK(rollout.isSettled());
}

TEST_CASE_METHOD(WeightRolloutFixture, "rollout, limited by a rate of weight loads, starts no more loads than the rate allows")
{
    WeightLoadLimiter slowLimiter(1, 2, clock.now());
    CHECK(rollout.nextOrders(fence, slowLimiter, clock.now()).size() == 2);
    CHECK(rollout.nextOrders(fence, slowLimiter, clock.now()).empty());
    clock.advance(1s);
    CHECK(rollout.nextOrders(fence, slowLimiter, clock.now()).size() == 1);
}

TEST_CASE_METHOD(WeightRolloutFixture, "engine, whose swap keeps failing, is retried with growing delays, set aside, and tried again with the next version")
{
    rollout.setEngines({ TargetId("e0") });
    for (unsigned failures = 1; failures <= 5; ++failures) {
        const auto orders = nextOrders();
        REQUIRE(orders.size() == 1);
        reportResult(orders[0], failure(ErrorCode::OutcomeUnknown, "connection lost"));
        CHECK(nextOrders().empty());
        clock.advance(500ms * (1 << (failures - 1)));
    }
    clock.advance(1h);
    CHECK(nextOrders().empty());
    CHECK(rollout.engines()[0].state == SwapState::SetAside);
    rollout.setDesiredVersion(4);
    CHECK(nextOrders().size() == 1);
}

TEST_CASE_METHOD(WeightRolloutFixture, "version, superseded while some engines load it, is not loaded on the others")
{
    const auto first = nextOrders();
    rollout.setDesiredVersion(4);
    for (const auto& order : first)
        reportResult(order, success());
    for (const auto& order : nextOrders())
        CHECK(order.order.version == 4);
}

TEST_CASE_METHOD(WeightRolloutFixture, "engine, restarted with older weights, is swapped again once its reports are no longer ignored")
{
    rollout.setEngines({ TargetId("e0") });
    reportResult(nextOrders()[0], success());
    rollout.onStatus(TargetId("e0"), { 2 }, clock.now());
    CHECK(nextOrders().empty());
    clock.advance(6s);
    rollout.onStatus(TargetId("e0"), { 2 }, clock.now());
    CHECK(nextOrders().size() == 1);
}

TEST_CASE_METHOD(WeightRolloutFixture, "lease holder, rejected for an outdated fencing number, sends no more orders under it")
{
    reportResult(nextOrders()[0], failure(ErrorCode::FenceRejected, "old"));
    clock.advance(1h);
    CHECK(nextOrders().empty());
    fence = 6;
    CHECK_FALSE(nextOrders().empty());
}

TEST_CASE("announcement, of a version that is not the newest, changes nothing unless it is an operator's rollback")
{
    const WeightRecord record { 7, 7, "a" };
    CHECK(applyAnnouncement(record, { "m", 6, false }) == record);
    CHECK(applyAnnouncement(record, { "m", 8, false }).version == 8);
    const auto rolledBack = applyAnnouncement(record, { "m", 6, true });
    CHECK(rolledBack.version == 6);
    CHECK(applyAnnouncement(rolledBack, { "m", 7, false }) == rolledBack);
    CHECK(weightRecordFromJson(toJson(rolledBack)).value() == rolledBack);
}

TEST_CASE("announcement, whose write succeeds but whose answer is lost, is recognized by its writer and written once")
{
    ManualClock clock;
    boost::asio::io_context context;
    FakeKeyValueService service(context.get_executor(), clock);
    bool isFirst = true;
    service.selectFault = [&isFirst](CallKind kind) {
        return kind == CallKind::Write && std::exchange(isFirst, false) ? CallFault::AnswerLost : CallFault::None;
    };
    WeightRegistry registry(service);
    const auto announced = startTask(context.get_executor(), registry.announce({ "draft-model", 7, false }, "host-1 1"));
    context.run();
    REQUIRE(announced->has_value());
    REQUIRE(announced->value());
    CHECK(announced->value().value().version == 7);
    CHECK(service.counts().writes == 1);
}

namespace {

constexpr std::size_t controllerCount = 2;
constexpr auto leaseTimeToLive = 10s;
constexpr auto orderTimeout = 4s;
/// Longest pause between a controller's last permit check and the sending of its order.
constexpr auto longestSendPause = 9s;

/// One simulated event: time passes, a controller may renew its lease, and sends an order if it is permitted to.
struct LeaseAction {
    std::size_t controller = 0;
    bool isRenewing = true;
    unsigned elapsedMs = 0;
    unsigned sendPauseMs = 0;
    unsigned effectDelayMs = 0;
};

std::ostream& operator<<(std::ostream& stream, const LeaseAction& action)
{
    return stream << action.controller << (action.isRenewing ? 'r' : '-') << action.elapsedMs << '/' << action.sendPauseMs << '/' << action.effectDelayMs;
}

struct OrderInFlight {
    FencingNumber fence = 0;
    TimePoint effectAt {};
};

struct Controller {
    std::unique_ptr<LeaseCandidate> candidate;
    std::unique_ptr<LeaseOrderPermit> permit;
};

/// Two controllers compete for one lease; each may be paused at any time for any duration. One engine executes their orders.
class LeaseSimulation {
public:
    explicit LeaseSimulation(FenceCheck fenceCheck)
        : m_fenceCheck(fenceCheck)
    {
        for (std::size_t i = 0; i < controllerCount; ++i) {
            LeaseSettings settings { "weights/draft-model", "host-" + std::to_string(i), leaseTimeToLive };
            m_controllers[i].candidate = std::make_unique<LeaseCandidate>(m_service, m_clock, settings, i + 1);
            m_controllers[i].permit = std::make_unique<LeaseOrderPermit>(*m_controllers[i].candidate);
        }
    }

    void apply(const LeaseAction& action)
    {
        m_service.advance(std::chrono::milliseconds(action.elapsedMs));
        auto& controller = m_controllers[action.controller];
        if (action.isRenewing) {
            const auto step = startTask(m_context.get_executor(), controller.candidate->step());
            m_context.restart();
            m_context.run();
        }
        if (const auto fence = controller.permit->permit(m_fenceCheck, orderTimeout))
            order(*fence, action);
    }

    void check()
    {
        std::sort(m_orders.begin(), m_orders.end(), [](const auto& left, const auto& right) { return left.effectAt < right.effectAt; });
        FencingNumber highest = 0;
        for (const auto& order : m_orders) {
            if (m_fenceCheck == FenceCheck::Checked && order.fence < highest)
                continue;
            // No order takes effect after an order of a later lease holder.
            RC_ASSERT(order.fence >= highest);
            highest = order.fence;
        }
        RC_CLASSIFY(highest > 0, "some order took effect");
        RC_CLASSIFY(!m_orders.empty() && m_orders.front().fence != highest, "several holders");
    }

private:
    void order(FencingNumber fence, const LeaseAction& action)
    {
        WeightRollout rollout({ "draft-model" });
        rollout.setEngines({ TargetId("e0") });
        rollout.setDesiredVersion(1);
        const auto now = m_clock.now();
        WeightLoadLimiter limiter(1, 1, now);
        for (const auto& planned : rollout.nextOrders(fence, limiter, now))
            m_orders.push_back({ planned.order.fence, now + std::chrono::milliseconds(action.sendPauseMs + action.effectDelayMs) });
    }

    FenceCheck m_fenceCheck;
    ManualClock m_clock;
    boost::asio::io_context m_context;
    FakeKeyValueService m_service { m_context.get_executor(), m_clock };
    std::array<Controller, controllerCount> m_controllers;
    std::vector<OrderInFlight> m_orders;
};

rc::Gen<LeaseAction> anyLeaseAction()
{
    const auto milliseconds = [](Duration longest) { return rc::gen::inRange<unsigned>(0, static_cast<unsigned>(longest / 1ms)); };
    return rc::gen::build<LeaseAction>(rc::gen::set(&LeaseAction::controller, rc::gen::inRange<std::size_t>(0, controllerCount)),
        rc::gen::set(&LeaseAction::isRenewing, rc::gen::weightedElement<bool>({ { 1, true }, { 5, false } })),
        rc::gen::set(&LeaseAction::elapsedMs, rc::gen::weightedOneOf<unsigned>({ { 30, milliseconds(1s) }, { 1, milliseconds(12s) } })),
        rc::gen::set(&LeaseAction::sendPauseMs, milliseconds(longestSendPause)),
        rc::gen::set(&LeaseAction::effectDelayMs, milliseconds(orderTimeout)));
}

void checkLeases(FenceCheck fenceCheck)
{
    const auto actions = *rc::gen::container<std::vector<LeaseAction>>(*rc::gen::inRange<std::size_t>(200, 1000), anyLeaseAction());
    LeaseSimulation simulation(fenceCheck);
    for (const auto& action : actions)
        simulation.apply(action);
    simulation.check();
}

} // namespace

TEST_CASE("weight orders, of a paused lease holder to engines that ignore fencing numbers, never take effect after orders of a later holder")
{
    CHECK(rc::check("fences ignored", [] { checkLeases(FenceCheck::Ignored); }));
}

TEST_CASE("weight orders, of a paused lease holder to engines that check fencing numbers, never take effect after orders of a later holder")
{
    CHECK(rc::check("fences checked", [] { checkLeases(FenceCheck::Checked); }));
}
