#include "cicadalb/config/ConfigurationApply.h"
#include "cicadalb/config/ConfigurationState.h"

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
    StepOperator,
    LandDelayedWrite,
    ToggleOutage,
    FetchFromService,
    FetchFromHost,
    Take,
    ToggleFreeze,
    Restart };
constexpr unsigned actionKinds = 9;

/// One event of a run; the numbers choose who and how.
struct Action {
    ActionKind kind;
    unsigned who;
    unsigned how;
};

std::ostream& operator<<(std::ostream& stream, const Action& action)
{
    return stream << static_cast<int>(action.kind) << "/" << action.who << "/" << action.how;
}

rc::Gen<Action> anyAction()
{
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0U, actionKinds), rc::gen::inRange(0U, 12U), rc::gen::inRange(0U, 1000U)),
        [](const auto& numbers) {
            const auto [kind, who, how] = numbers;
            return Action { static_cast<ActionKind>(kind), who, how };
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

/// The accepted record in a key-value service with outages, lost and delayed calls.
class RecordService {
public:
    bool isDown = false;

    const std::optional<StoredRecord>& stored() const { return m_stored; }
    /// Every record that took effect.
    const std::vector<AcceptedConfiguration>& accepted() const { return m_accepted; }

    bool swap(const std::string& value, std::uint64_t expected)
    {
        if ((m_stored ? m_stored->revision : 0) != expected)
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
    std::uint64_t expected = 0;
};

struct Operator {
    std::optional<ConfigurationApply> apply;
    std::string mark;
};

struct Host {
    ConfigurationState state;
    bool isFrozen = false;
    /// Records that were fetched and not yet taken: they may be old by then.
    std::vector<std::shared_ptr<const AcceptedConfiguration>> inHand;
};

/// Operators, the service and hosts; checks what must hold after each action.
class World {
public:
    void act(const Action& action)
    {
        switch (action.kind) {
        case ActionKind::BeginEdit:
            return beginEdit(m_operators[action.who % operatorCount], action.how);
        case ActionKind::StepOperator:
            return stepOperator(m_operators[action.who % operatorCount], action.how);
        case ActionKind::LandDelayedWrite:
            return landDelayedWrite();
        case ActionKind::ToggleOutage:
            m_service.isDown = action.how % 3 == 0;
            return;
        case ActionKind::FetchFromService:
            return fetchFromService(m_hosts[action.who % hostCount]);
        case ActionKind::FetchFromHost:
            return fetchFromHost(m_hosts[action.who % hostCount], m_hosts[action.how % hostCount]);
        case ActionKind::Take:
            return take(m_hosts[action.who % hostCount], action.how);
        case ActionKind::ToggleFreeze:
            m_hosts[action.who % hostCount].isFrozen = action.how % 2 == 0;
            return;
        case ActionKind::Restart:
            m_hosts[action.who % hostCount] = Host();
            return;
        }
    }

    /// All faults end: each host fetches once, from the service or from a host that did.
    void settle()
    {
        m_service.isDown = false;
        for (auto& host : m_hosts)
            host.isFrozen = false;
        fetchFromService(m_hosts[0]);
        takeAll(m_hosts[0]);
        for (std::size_t index = 1; index < hostCount; ++index) {
            fetchFromHost(m_hosts[index], m_hosts[index - 1]);
            takeAll(m_hosts[index]);
        }
        const auto highest = m_service.accepted().size();
        for (const auto& host : m_hosts) {
            RC_ASSERT(host.state.number() == highest);
            RC_ASSERT(host.state.contradictions() == 0U);
        }
    }

private:
    /// Half of the edits keep to the rules; the others lose or rename a name, are cut, or are based on an old record.
    void beginEdit(Operator& editor, unsigned how)
    {
        if (editor.apply)
            return;
        const auto& records = m_service.accepted();
        ConfigurationEdit edit;
        RouteSet routes { how % routeCount };
        if (!records.empty()) {
            const auto age = how % 4 == 0 ? how % records.size() : 0;
            const auto& base = records[records.size() - 1 - age];
            edit.base = base.number;
            routes = routeSet(base.tables);
            editRoutes(routes, how, edit);
        }
        edit.routesText = routesText(routes);
        if (how % 11 == 0)
            edit.routesText.resize(edit.routesText.size() / 2);
        edit.poolsText = poolsText + "# edit " + std::to_string(m_nextMark) + "\n";
        edit.author = "asha";
        edit.mark = "mark-" + std::to_string(m_nextMark++);
        editor.mark = edit.mark;
        m_bases[edit.mark] = edit.base.value_or(0);
        editor.apply.emplace(std::move(edit), maximumFailures);
    }

    static void editRoutes(RouteSet& routes, unsigned how, ConfigurationEdit& edit)
    {
        const auto removed = *std::next(routes.begin(), static_cast<std::ptrdiff_t>(how % routes.size()));
        if (how % 5 < 3)
            routes.insert(how / 5 % routeCount);
        else
            routes.erase(removed);
        if (how % 5 == 4)
            edit.retired.push_back({ EntryKind::Route, routeNameOf(removed) });
    }

    void stepOperator(Operator& editor, unsigned how)
    {
        if (!editor.apply)
            return;
        if (editor.apply->step() == ApplyStep::Read)
            read(*editor.apply, how);
        else
            write(*editor.apply, how);
        checkOutcome(editor);
    }

    void read(ConfigurationApply& apply, unsigned how)
    {
        if (m_service.isDown || how % 6 == 0)
            return apply.readFailed({ ErrorCode::Unavailable, "fault", {} });
        apply.recordRead(m_service.stored());
    }

    void write(ConfigurationApply& apply, unsigned how)
    {
        const auto value = toJson(apply.next());
        if (m_service.isDown)
            return apply.writeFailed({ ErrorCode::Unavailable, "fault", {} });
        if (how % 5 == 0) {
            m_delayed.push_back({ value, apply.expectedRevision() });
            return apply.writeFailed({ ErrorCode::OutcomeUnknown, "late", {} });
        }
        const bool isWritten = m_service.swap(value, apply.expectedRevision());
        if (how % 5 == 1)
            return apply.writeFailed({ ErrorCode::OutcomeUnknown, "answer lost", {} });
        if (isWritten)
            return apply.written();
        apply.writeFailed({ ErrorCode::Conflict, "revision", {} });
    }

    void landDelayedWrite()
    {
        if (m_delayed.empty())
            return;
        const auto write = m_delayed.front();
        m_delayed.erase(m_delayed.begin());
        if (m_service.swap(write.value, write.expected)) {
            const auto& mark = m_service.accepted().back().mark;
            RC_ASSERT(!m_refusedMarks.contains(mark));
        }
    }

    bool isInLog(const std::string& mark) const
    {
        const auto& records = m_service.accepted();
        return std::any_of(records.begin(), records.end(), [&](const auto& record) { return record.mark == mark; });
    }

    /// An operator is told the truth: accepted means in the log, refused means never in it.
    void checkOutcome(Operator& editor)
    {
        checkLog();
        const auto step = editor.apply->step();
        if (step == ApplyStep::Read || step == ApplyStep::Write)
            return;
        if (step == ApplyStep::Accepted)
            RC_ASSERT(isInLog(editor.mark));
        if (step == ApplyStep::Refused) {
            RC_ASSERT(!isInLog(editor.mark));
            m_refusedMarks.insert(editor.mark);
        }
        editor.apply.reset();
    }

    /// Numbers rise by one, each edit knew the record that it replaced, and no name goes unless its record retires it.
    void checkLog() const
    {
        const auto& records = m_service.accepted();
        for (std::size_t index = 0; index < records.size(); ++index)
            RC_ASSERT(records[index].number == index + 1 && m_bases.at(records[index].mark) == index);
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
            host.inHand.push_back(std::make_shared<const AcceptedConfiguration>(acceptedConfigurationFromJson(m_service.stored()->value).value()));
    }

    static void fetchFromHost(Host& host, const Host& other)
    {
        if (!host.isFrozen && !other.isFrozen && host.state.shouldFetch(other.state.number()))
            host.inHand.push_back(other.state.current());
    }

    static void take(Host& host, unsigned how)
    {
        if (host.isFrozen || host.inHand.empty())
            return;
        const auto chosen = host.inHand.begin() + static_cast<std::ptrdiff_t>(how % host.inHand.size());
        const auto record = *chosen;
        host.inHand.erase(chosen);
        const auto before = host.state.number();
        host.state.offer(record);
        RC_ASSERT(host.state.number() == std::max(before, record->number));
    }

    static void takeAll(Host& host)
    {
        while (!host.inHand.empty())
            take(host, 0);
    }

    RecordService m_service;
    std::array<Operator, operatorCount> m_operators;
    std::array<Host, hostCount> m_hosts;
    std::vector<DelayedWrite> m_delayed;
    std::set<std::string> m_refusedMarks;
    /// Number that each edit was based on, by its mark.
    std::map<std::string, ConfigurationNumber> m_bases;
    unsigned m_nextMark = 1;
};

} // namespace

TEST_CASE("configuration, under operators' races, lost and delayed writes, outages, restarts and frozen hosts, never falls or loses a name")
{
    CHECK(rc::check("every action keeps the promises and all hosts settle on the highest number", [] {
        const auto actions = *rc::gen::resize(2500, rc::gen::container<std::vector<Action>>(anyAction()));
        World world;
        for (const auto& action : actions)
            world.act(action);
        world.settle();
    }));
}
