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
        rollout.want(3);
    }

    static WeightRolloutOptions options()
    {
        WeightRolloutOptions options;
        options.model = "draft-model";
        options.servingShare = 0.7;
        options.fenceCheck = FenceCheck::Checked;
        return options;
    }
    std::vector<PlannedOrder> next() { return rollout.nextOrders(fence, budget, clock.now()); }
    void answer(const PlannedOrder& order, const Result<void>& result) { rollout.onOrderResult(order.engine, order.order, result, clock.now()); }

    ManualClock clock;
    WeightRollout rollout { options() };
    LoadBudget budget { 100, 100, clock.now() };
    FencingNumber fence = 5;
};

} // namespace

TEST_CASE_METHOD(WeightRolloutFixture, "rollout, under way, keeps the set share serving and ends with every engine swapped")
{
    for (unsigned round = 0; round < 4; ++round) {
        const auto orders = next();
        CHECK(orders.size() == (round == 3 ? 1 : 3));
        CHECK(next().empty());
        for (const auto& order : orders) {
            CHECK(order.order.fence == 5);
            answer(order, success());
        }
    }
    CHECK(rollout.isSettled());
}

TEST_CASE_METHOD(WeightRolloutFixture, "rollout, held to the weight store's rate, starts no more loads than it allows")
{
    LoadBudget narrow(1, 2, clock.now());
    CHECK(rollout.nextOrders(fence, narrow, clock.now()).size() == 2);
    CHECK(rollout.nextOrders(fence, narrow, clock.now()).empty());
    clock.advance(1s);
    CHECK(rollout.nextOrders(fence, narrow, clock.now()).size() == 1);
}

TEST_CASE_METHOD(WeightRolloutFixture, "failed swap, retried with growing pauses, is set aside and tried with the next version")
{
    rollout.setEngines({ TargetId("e0") });
    for (unsigned failures = 1; failures <= 5; ++failures) {
        const auto orders = next();
        REQUIRE(orders.size() == 1);
        answer(orders[0], failure(ErrorCode::OutcomeUnknown, "connection lost"));
        CHECK(next().empty());
        clock.advance(500ms * (1 << (failures - 1)));
    }
    clock.advance(1h);
    CHECK(next().empty());
    CHECK(rollout.engines()[0].state == SwapState::SetAside);
    rollout.want(4);
    CHECK(next().size() == 1);
}

TEST_CASE_METHOD(WeightRolloutFixture, "version, overtaken while engines swap, is skipped on the others")
{
    const auto first = next();
    rollout.want(4);
    for (const auto& order : first)
        answer(order, success());
    for (const auto& order : next())
        CHECK(order.order.version == 4);
}

TEST_CASE_METHOD(WeightRolloutFixture, "engine, restarted with older weights, is swapped again once its report is no longer a lagging one")
{
    rollout.setEngines({ TargetId("e0") });
    answer(next()[0], success());
    rollout.onStatus(TargetId("e0"), { 2 }, clock.now());
    CHECK(next().empty());
    clock.advance(6s);
    rollout.onStatus(TargetId("e0"), { 2 }, clock.now());
    CHECK(next().size() == 1);
}

TEST_CASE_METHOD(WeightRolloutFixture, "holder, refused for an old number, orders nothing more under it")
{
    answer(next()[0], failure(ErrorCode::FenceRejected, "old"));
    clock.advance(1h);
    CHECK(next().empty());
    fence = 6;
    CHECK_FALSE(next().empty());
}

TEST_CASE("announcement, older than the newest, changes nothing unless an operator rolls back")
{
    const WeightRecord record { 7, 7, "a" };
    CHECK(afterAnnouncement(record, { "m", 6, false }) == record);
    CHECK(afterAnnouncement(record, { "m", 8, false }).version == 8);
    const auto rolledBack = afterAnnouncement(record, { "m", 6, true });
    CHECK(rolledBack.version == 6);
    CHECK(afterAnnouncement(rolledBack, { "m", 7, false }) == rolledBack);
    CHECK(weightRecordFromJson(toJson(rolledBack)).value() == rolledBack);
}

TEST_CASE("announcement, whose write's answer is lost, is found by its writer's mark and written once")
{
    ManualClock clock;
    boost::asio::io_context context;
    FakeKeyValueService service(context.get_executor(), clock);
    bool isFirst = true;
    service.faultOf = [&isFirst](CallKind kind) {
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
constexpr auto leaseTime = 10s;
constexpr auto longestOrder = 4s;
/// Largest pause between a controller's last check and its order reaching the wire.
constexpr auto largestSendPause = 9s;

/// What happens next; the numbers choose lengths.
struct LeaseAction {
    std::size_t controller = 0;
    bool isRenewing = true;
    unsigned milliseconds = 0;
    unsigned sendPause = 0;
    unsigned effectDelay = 0;
};

std::ostream& operator<<(std::ostream& stream, const LeaseAction& action)
{
    return stream << action.controller << (action.isRenewing ? 'r' : '-') << action.milliseconds << '/' << action.sendPause << '/' << action.effectDelay;
}

struct OrderInFlight {
    FencingNumber fence = 0;
    TimePoint effectAt {};
};

struct Controller {
    std::unique_ptr<LeaseKeeper> keeper;
    std::unique_ptr<LeaseOrderPermit> permit;
};

/// Two controllers compete for a lease of the service; each is paused at any time for any time. One engine takes their orders.
class LeaseWorld {
public:
    explicit LeaseWorld(FenceCheck fenceCheck)
        : m_fenceCheck(fenceCheck)
    {
        for (std::size_t i = 0; i < controllerCount; ++i) {
            LeaseSettings settings { "weights/draft-model", "host-" + std::to_string(i), leaseTime };
            m_controllers[i].keeper = std::make_unique<LeaseKeeper>(m_service, m_clock, settings, i + 1);
            m_controllers[i].permit = std::make_unique<LeaseOrderPermit>(*m_controllers[i].keeper);
        }
    }

    void apply(const LeaseAction& action)
    {
        m_service.advance(std::chrono::milliseconds(action.milliseconds));
        auto& controller = m_controllers[action.controller];
        if (action.isRenewing) {
            const auto step = startTask(m_context.get_executor(), controller.keeper->step());
            m_context.restart();
            m_context.run();
        }
        if (const auto fence = controller.permit->permit(m_fenceCheck, longestOrder))
            order(*fence, action);
    }

    void check()
    {
        std::sort(m_orders.begin(), m_orders.end(), [](const auto& left, const auto& right) { return left.effectAt < right.effectAt; });
        FencingNumber highest = 0;
        for (const auto& order : m_orders) {
            if (m_fenceCheck == FenceCheck::Checked && order.fence < highest)
                continue;
            // No order takes effect after one of a later holder.
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
        rollout.want(1);
        const auto now = m_clock.now();
        LoadBudget budget(1, 1, now);
        for (const auto& planned : rollout.nextOrders(fence, budget, now))
            m_orders.push_back({ planned.order.fence, now + std::chrono::milliseconds(action.sendPause + action.effectDelay) });
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
        rc::gen::set(&LeaseAction::milliseconds, rc::gen::weightedOneOf<unsigned>({ { 30, milliseconds(1s) }, { 1, milliseconds(12s) } })),
        rc::gen::set(&LeaseAction::sendPause, milliseconds(largestSendPause)),
        rc::gen::set(&LeaseAction::effectDelay, milliseconds(longestOrder)));
}

void checkLeases(FenceCheck fenceCheck)
{
    const auto actions = *rc::gen::container<std::vector<LeaseAction>>(*rc::gen::inRange<std::size_t>(200, 1000), anyLeaseAction());
    LeaseWorld world(fenceCheck);
    for (const auto& action : actions)
        world.apply(action);
    world.check();
}

} // namespace

TEST_CASE("weight orders, of a paused holder, to engines that ignore fencing numbers, never take effect after its successor's")
{
    CHECK(rc::check("fences ignored", [] { checkLeases(FenceCheck::Ignored); }));
}

TEST_CASE("weight orders, of a paused holder, to engines that check fencing numbers, never take effect after its successor's")
{
    CHECK(rc::check("fences checked", [] { checkLeases(FenceCheck::Checked); }));
}
