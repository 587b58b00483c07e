#include "cicadalb/config/ConfigurationState.h"
#include "cicadalb/config/EditStateMachine.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>

using namespace cicadalb;

namespace {

constexpr std::size_t operatorCount = 3;
constexpr std::size_t hostCount = 4;
constexpr unsigned routeCount = 5;
constexpr unsigned maximumFailures = 6;

enum class ActionKind : std::uint8_t { BeginEdit,
    AdvanceOperator,
    DeliverDelayedWrite,
    SetOutage,
    FetchFromService,
    FetchFromHost,
    OfferFetched,
    SetFrozen,
    Restart };
constexpr unsigned actionKindCount = 9;

/// One action of a simulation run. @p actor selects the operator or host, @p variant the details and faults of the action.
struct Action {
    ActionKind kind;
    unsigned actor;
    unsigned variant;
};

std::ostream& operator<<(std::ostream& stream, const Action& action)
{
    return stream << static_cast<int>(action.kind) << "/" << action.actor << "/" << action.variant;
}

rc::Gen<Action> anyAction()
{
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0U, actionKindCount), rc::gen::inRange(0U, 12U), rc::gen::inRange(0U, 1000U)),
        [](const auto& numbers) {
            const auto [kind, actor, variant] = numbers;
            return Action { static_cast<ActionKind>(kind), actor, variant };
        });
}

using RouteSet = std::set<unsigned>;

std::string routeNameOf(unsigned index) { return "route-" + std::to_string(index); }

std::string routesText(const RouteSet& routes)
{
    std::string text;
    for (const auto index : routes)
        text += "[routes." + routeNameOf(index) + "]\npath = \"/" + std::to_string(index) + "\"\npool = \"ledger-app\"\n";
    return text;
}

const std::string poolsText = R"([pools.ledger-app]
kind = "plain-service"
[[pools.ledger-app.targets]]
id = "ledger-1"
address = "10.0.0.1"
port = 1
failure-domain = "salt-lake"
)";

RouteSet routeSet(const Tables& tables)
{
    RouteSet routes;
    for (const auto& route : tables.routes)
        routes.insert(static_cast<unsigned>(std::stoul(route.name.value().substr(6))));
    return routes;
}

/// Key-value service that holds the accepted record.
class RecordService {
public:
    bool isDown = false;

    const std::optional<StoredRecord>& stored() const { return m_stored; }
    /// Every record that was written, oldest first.
    const std::vector<AcceptedConfiguration>& accepted() const { return m_accepted; }

    bool compareAndSwap(const std::string& value, std::uint64_t expectedRevision)
    {
        if ((m_stored ? m_stored->revision : 0) != expectedRevision)
            return false;
        m_stored = StoredRecord { value, ++m_revision };
        m_accepted.push_back(acceptedConfigurationFromJson(value).value());
        return true;
    }

private:
    std::optional<StoredRecord> m_stored;
    std::vector<AcceptedConfiguration> m_accepted;
    std::uint64_t m_revision = 0;
};

struct DelayedWrite {
    std::string value;
    std::uint64_t expectedRevision = 0;
};

struct Operator {
    std::optional<EditStateMachine> apply;
    std::string editId;
};

struct Host {
    ConfigurationState state;
    bool isFrozen = false;
    /// Records that were fetched but not yet offered to the state; they may be outdated when they are.
    std::vector<std::shared_ptr<const AcceptedConfiguration>> fetchedRecords;
};

/// Simulates operators, the key-value service and hosts, and checks the invariants.
class Simulation {
public:
    void perform(const Action& action)
    {
        switch (action.kind) {
        case ActionKind::BeginEdit:
            return beginEdit(m_operators[action.actor % operatorCount], action.variant);
        case ActionKind::AdvanceOperator:
            return advanceOperator(m_operators[action.actor % operatorCount], action.variant);
        case ActionKind::DeliverDelayedWrite:
            return deliverDelayedWrite();
        case ActionKind::SetOutage:
            m_service.isDown = action.variant % 3 == 0;
            return;
        case ActionKind::FetchFromService:
            return fetchFromService(m_hosts[action.actor % hostCount]);
        case ActionKind::FetchFromHost:
            return fetchFromHost(m_hosts[action.actor % hostCount], m_hosts[action.variant % hostCount]);
        case ActionKind::OfferFetched:
            return offerFetched(m_hosts[action.actor % hostCount], action.variant);
        case ActionKind::SetFrozen:
            m_hosts[action.actor % hostCount].isFrozen = action.variant % 2 == 0;
            return;
        case ActionKind::Restart:
            m_hosts[action.actor % hostCount] = Host();
            return;
        }
    }

    /// Ends all faults and lets each host fetch once: the first from the service, each other one from the host before it. All hosts must
    /// then have the highest number.
    void converge()
    {
        m_service.isDown = false;
        for (auto& host : m_hosts)
            host.isFrozen = false;
        fetchFromService(m_hosts[0]);
        offerAllFetched(m_hosts[0]);
        for (std::size_t index = 1; index < hostCount; ++index) {
            fetchFromHost(m_hosts[index], m_hosts[index - 1]);
            offerAllFetched(m_hosts[index]);
        }
        const auto highest = m_service.accepted().size();
        for (const auto& host : m_hosts) {
            RC_ASSERT(host.state.number() == highest);
            RC_ASSERT(host.state.contradictions() == 0U);
        }
    }

private:
    /// About half of the edits are valid; the others remove a name without retiring it, are truncated, or are based on an old record.
    void beginEdit(Operator& editor, unsigned variant)
    {
        if (editor.apply)
            return;
        const auto& records = m_service.accepted();
        ConfigurationEdit edit;
        RouteSet routes { variant % routeCount };
        if (!records.empty()) {
            const auto age = variant % 4 == 0 ? variant % records.size() : 0;
            const auto& base = records[records.size() - 1 - age];
            edit.baseNumber = base.number;
            routes = routeSet(base.tables);
            editRoutes(routes, variant, edit);
        }
        edit.routesText = routesText(routes);
        if (variant % 11 == 0)
            edit.routesText.resize(edit.routesText.size() / 2);
        edit.poolsText = poolsText + "# edit " + std::to_string(m_nextEditId) + "\n";
        edit.author = "asha";
        edit.editId = "edit-" + std::to_string(m_nextEditId++);
        editor.editId = edit.editId;
        m_bases[edit.editId] = edit.baseNumber.value_or(0);
        editor.apply.emplace(std::move(edit), maximumFailures);
    }

    static void editRoutes(RouteSet& routes, unsigned variant, ConfigurationEdit& edit)
    {
        const auto removed = *std::next(routes.begin(), static_cast<std::ptrdiff_t>(variant % routes.size()));
        if (variant % 5 < 3)
            routes.insert(variant / 5 % routeCount);
        else
            routes.erase(removed);
        if (variant % 5 == 4)
            edit.retired.push_back({ EntryKind::Route, routeNameOf(removed) });
    }

    void advanceOperator(Operator& editor, unsigned variant)
    {
        if (!editor.apply)
            return;
        if (editor.apply->state() == EditState::Read)
            read(*editor.apply, variant);
        else
            write(*editor.apply, variant);
        checkOutcome(editor);
    }

    void read(EditStateMachine& apply, unsigned variant)
    {
        if (m_service.isDown || variant % 6 == 0)
            return apply.onReadFailed({ ErrorCode::Unavailable, "fault", {} });
        apply.onRecordRead(m_service.stored());
    }

    void write(EditStateMachine& apply, unsigned variant)
    {
        const auto value = toJson(apply.next());
        if (m_service.isDown)
            return apply.onWriteFailed({ ErrorCode::Unavailable, "fault", {} });
        if (variant % 5 == 0) {
            m_delayed.push_back({ value, apply.expectedRevision() });
            return apply.onWriteFailed({ ErrorCode::OutcomeUnknown, "late", {} });
        }
        const bool isWritten = m_service.compareAndSwap(value, apply.expectedRevision());
        if (variant % 5 == 1)
            return apply.onWriteFailed({ ErrorCode::OutcomeUnknown, "answer lost", {} });
        if (isWritten)
            return apply.onWritten();
        apply.onWriteFailed({ ErrorCode::Conflict, "revision", {} });
    }

    void deliverDelayedWrite()
    {
        if (m_delayed.empty())
            return;
        const auto write = m_delayed.front();
        m_delayed.erase(m_delayed.begin());
        if (m_service.compareAndSwap(write.value, write.expectedRevision)) {
            const auto& editId = m_service.accepted().back().editId;
            RC_ASSERT(!m_refusedEditIds.contains(editId));
        }
    }

    bool isAccepted(const std::string& editId) const
    {
        const auto& records = m_service.accepted();
        return std::any_of(records.begin(), records.end(), [&](const auto& record) { return record.editId == editId; });
    }

    /// Checks that an edit reported as accepted is among the accepted records, and that one reported as refused never is.
    void checkOutcome(Operator& editor)
    {
        checkAcceptedRecords();
        const auto state = editor.apply->state();
        if (state == EditState::Read || state == EditState::Write)
            return;
        if (state == EditState::Accepted)
            RC_ASSERT(isAccepted(editor.editId));
        if (state == EditState::Refused) {
            RC_ASSERT(!isAccepted(editor.editId));
            m_refusedEditIds.insert(editor.editId);
        }
        editor.apply.reset();
    }

    /// Checks that numbers rise by one, that each edit was based on the record that it replaced, and that names are removed only by
    /// records that retire them.
    void checkAcceptedRecords() const
    {
        const auto& records = m_service.accepted();
        for (std::size_t index = 0; index < records.size(); ++index)
            RC_ASSERT(records[index].number == index + 1 && m_bases.at(records[index].editId) == index);
        for (std::size_t index = 1; index < records.size(); ++index) {
            const auto after = routeSet(records[index].tables);
            for (const auto route : routeSet(records[index - 1].tables)) {
                const auto& retired = records[index].retired;
                const RetiredName name { EntryKind::Route, routeNameOf(route) };
                RC_ASSERT(after.contains(route) || std::find(retired.begin(), retired.end(), name) != retired.end());
            }
        }
    }

    void fetchFromService(Host& host)
    {
        if (!host.isFrozen && !m_service.isDown && m_service.stored())
            host.fetchedRecords.push_back(std::make_shared<const AcceptedConfiguration>(acceptedConfigurationFromJson(m_service.stored()->value).value()));
    }

    static void fetchFromHost(Host& host, const Host& other)
    {
        if (!host.isFrozen && !other.isFrozen && host.state.shouldFetch(other.state.number()))
            host.fetchedRecords.push_back(other.state.current());
    }

    static void offerFetched(Host& host, unsigned variant)
    {
        if (host.isFrozen || host.fetchedRecords.empty())
            return;
        const auto chosen = host.fetchedRecords.begin() + static_cast<std::ptrdiff_t>(variant % host.fetchedRecords.size());
        const auto record = *chosen;
        host.fetchedRecords.erase(chosen);
        const auto before = host.state.number();
        host.state.offer(record);
        RC_ASSERT(host.state.number() == std::max(before, record->number));
    }

    static void offerAllFetched(Host& host)
    {
        while (!host.fetchedRecords.empty())
            offerFetched(host, 0);
    }

    RecordService m_service;
    std::array<Operator, operatorCount> m_operators;
    std::array<Host, hostCount> m_hosts;
    std::vector<DelayedWrite> m_delayed;
    std::set<std::string> m_refusedEditIds;
    /// Number that each edit was based on, by edit ID.
    std::map<std::string, ConfigurationNumber> m_bases;
    unsigned m_nextEditId = 1;
};

} // namespace

TEST_CASE("configuration under concurrent edits, lost and delayed writes, outages, restarts and frozen hosts never returns to a lower number or loses a name")
{
    CHECK(rc::check("every action keeps the invariants and all hosts converge on the highest number", [] {
        const auto actions = *rc::gen::resize(2500, rc::gen::container<std::vector<Action>>(anyAction()));
        Simulation simulation;
        for (const auto& action : actions)
            simulation.perform(action);
        simulation.converge();
    }));
}
