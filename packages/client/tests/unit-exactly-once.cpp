#include "cicadalb/client/StepReceiver.h"
#include "cicadalb/rollout/StepCoordinator.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>
#include <map>
#include <optional>

using namespace cicadalb;

namespace {

/// Hosts that may coordinate the step, also several at the same time.
constexpr std::size_t hostCount = 3;
constexpr std::size_t maximumFinishingRounds = 200;

enum class ActionKind : std::uint8_t { Submit,
    Dispatch,
    Finish,
    SendPull,
    AnswerPull,
    DeliverAnswer,
    RepeatAnswer,
    Crash,
    SwapTrainerWeights,
    SwapEngineWeights,
    Wait };

/// One simulated event. @c choice selects a pull, an answer or a generation, or sets the number of dispatches or the engines' version.
struct Action {
    ActionKind kind = ActionKind::Wait;
    std::size_t host = 0;
    std::size_t choice = 0;
};

std::ostream& operator<<(std::ostream& stream, const Action& action)
{
    return stream << static_cast<int>(action.kind) << ':' << action.host << ':' << action.choice;
}

/// A pull that its host has not answered yet. A paused host may answer much later.
struct PullInFlight {
    std::size_t host = 0;
    StepCursor cursor;
};

struct RunningGeneration {
    AttemptId attempt = 0;
    WeightVersion version = 0;
};

struct Host {
    std::optional<StepCoordinator> coordinator;
    std::vector<RunningGeneration> running;
};

/// Simulates one trainer, several coordinators of its step, and the messages in flight between them.
class DeliverySimulation {
public:
    DeliverySimulation()
        : m_receiver(m_spec, m_trainerVersion, 1000)
    {
    }

    void apply(const Action& action)
    {
        auto& host = m_hosts[action.host % hostCount];
        switch (action.kind) {
        case ActionKind::Submit:
            return submit(host);
        case ActionKind::Dispatch:
            return dispatch(host, action.choice % 4 + 1);
        case ActionKind::Finish:
            return finish(host, action.choice);
        case ActionKind::SendPull:
            return m_pulls.push_back({ action.host % hostCount, m_receiver.cursor() });
        case ActionKind::AnswerPull:
            return answerPull(action.choice);
        case ActionKind::DeliverAnswer:
            return deliver(action.choice, false);
        case ActionKind::RepeatAnswer:
            return deliver(action.choice, true);
        case ActionKind::Crash:
            host = Host {};
            return;
        case ActionKind::SwapTrainerWeights:
            return m_receiver.setWeightVersion(++m_trainerVersion);
        case ActionKind::SwapEngineWeights:
            m_engineVersion = std::max(m_engineVersion, m_trainerVersion - std::min<WeightVersion>(m_trainerVersion, action.choice % 3));
            return;
        case ActionKind::Wait:
            return m_clock.advance(std::chrono::seconds(10));
        }
    }

    /// Completes the step without further faults: in each round one host generates and answers a pull.
    bool finishStep()
    {
        m_engineVersion = m_trainerVersion;
        for (std::size_t round = 0; round < maximumFinishingRounds && !m_receiver.isComplete(); ++round) {
            for (const auto kind : { ActionKind::Submit, ActionKind::Dispatch, ActionKind::Finish, ActionKind::SendPull, ActionKind::Wait })
                apply({ kind, round % hostCount, 0 });
            answerPull(m_pulls.size() - 1);
            deliver(m_answers.size() - 1, false);
        }
        while (!m_answers.empty())
            deliver(0, false);
        return m_receiver.isComplete();
    }

    void check(bool isComplete) const
    {
        RC_ASSERT(isComplete);
        RC_ASSERT(m_accepted.size() == m_spec.sampleCount());
    }

private:
    void submit(Host& host)
    {
        if (!host.coordinator)
            host.coordinator.emplace(m_spec, StepOptions {}, m_clock.now());
        RC_ASSERT(static_cast<bool>(host.coordinator->resubmit(m_spec)));
    }

    void dispatch(Host& host, std::size_t count)
    {
        if (!host.coordinator)
            return;
        for (const auto& dispatch : host.coordinator->nextDispatches(count, {}, m_clock.now()))
            host.running.push_back({ dispatch.attempt, m_engineVersion });
    }

    void finish(Host& host, std::size_t choice)
    {
        if (host.running.empty())
            return;
        const auto index = choice % host.running.size();
        const auto [attempt, version] = host.running[index];
        host.running.erase(host.running.begin() + static_cast<std::ptrdiff_t>(index));
        // For a third of the choices the weights are swapped during the generation; some others fail or lack weight versions.
        std::vector<WeightVersion> versions { version };
        if (choice % 3 == 1 && version < m_engineVersion)
            versions.push_back(m_engineVersion);
        if (choice % 7 == 2)
            versions.clear();
        if (choice % 7 == 3)
            host.coordinator->onResult(attempt, failure(ErrorCode::OutcomeUnknown, "connection lost"), m_clock.now());
        else
            host.coordinator->onResult(attempt, Generation { "text", 1, versions }, m_clock.now());
    }

    void answerPull(std::size_t choice)
    {
        if (m_pulls.empty())
            return;
        const auto index = choice % m_pulls.size();
        const auto pull = m_pulls[index];
        m_pulls.erase(m_pulls.begin() + static_cast<std::ptrdiff_t>(index));
        auto& coordinator = m_hosts[pull.host].coordinator;
        if (coordinator)
            m_answers.push_back(coordinator->pull(pull.cursor, 3, m_clock.now()).value());
    }

    void deliver(std::size_t choice, bool isRepeated)
    {
        if (m_answers.empty())
            return;
        const auto index = choice % m_answers.size();
        const auto answer = m_answers[index];
        if (!isRepeated)
            m_answers.erase(m_answers.begin() + static_cast<std::ptrdiff_t>(index));
        for (const auto& sample : m_receiver.accept(answer)) {
            RC_ASSERT(++m_accepted[sample.position] == 1U);
            RC_ASSERT(!sample.versions.empty());
            RC_ASSERT(!isStale(sample.versions.front(), m_trainerVersion, m_spec.stalenessBound));
        }
    }

    ManualClock m_clock;
    StepSpec m_spec { { TrainerName("drafts"), 4 }, { { "a", "", 3 }, { "b", "", 3 } } };
    WeightVersion m_trainerVersion = 5;
    WeightVersion m_engineVersion = 5;
    StepReceiver m_receiver;
    std::array<Host, hostCount> m_hosts;
    std::vector<PullInFlight> m_pulls;
    std::vector<Batch> m_answers;
    std::map<SampleIndex, unsigned> m_accepted;
};

rc::Gen<Action> anyAction()
{
    const auto kind = rc::gen::weightedElement<ActionKind>({
        { 2, ActionKind::Submit },
        { 4, ActionKind::Dispatch },
        { 6, ActionKind::Finish },
        { 5, ActionKind::SendPull },
        { 5, ActionKind::AnswerPull },
        { 4, ActionKind::DeliverAnswer },
        { 2, ActionKind::RepeatAnswer },
        { 1, ActionKind::Crash },
        { 1, ActionKind::SwapTrainerWeights },
        { 2, ActionKind::SwapEngineWeights },
        { 1, ActionKind::Wait },
    });
    return rc::gen::build<Action>(rc::gen::set(&Action::kind, kind),
        rc::gen::set(&Action::host, rc::gen::inRange<std::size_t>(0, hostCount)),
        rc::gen::set(&Action::choice, rc::gen::inRange<std::size_t>(0, 60)));
}

} // namespace

TEST_CASE("samples, with hosts crashing and messages delayed, repeated and reordered, reach the trainer exactly once and within the staleness bound")
{
    CHECK(rc::check("exactly once", [] {
        const auto length = *rc::gen::inRange<std::size_t>(0, 120);
        const auto actions = *rc::gen::container<std::vector<Action>>(length, anyAction());
        DeliverySimulation simulation;
        for (const auto& action : actions)
            simulation.apply(action);
        simulation.check(simulation.finishStep());
    }));
}
