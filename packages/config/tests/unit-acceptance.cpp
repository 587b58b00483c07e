#include "cicadalb/config/EditStateMachine.h"
#include "cicadalb/config/RefusedEdits.h"
#include "cicadalb/config/TableEdit.h"
#include "cicadalb/config/TablesDifference.h"

#include <catch2/catch.hpp>

using namespace cicadalb;

namespace {

struct AcceptanceFixture {
    TableTexts texts { R"(# clerks first
[callers.clerks]
token-sha256 = "1111111111111111111111111111111111111111111111111111111111111111"
[routes.invoices]
path = "/invoices"
pool = "ledger-app"
# asked for by the auditors
[routes.lookup]
path = "/lookups"
pool = "ledger-app"
)",
        R"([pools.ledger-app]
kind = "plain-service"
[[pools.ledger-app.targets]]
id = "ledger-1" # the old one
address = "10.0.0.1"
port = 1
failure-domain = "salt-lake"
[[pools.ledger-app.targets]]
id = "ledger-2"
address = "10.0.0.2"
port = 1
failure-domain = "howrah"
draining = false # since May
)" };

    ConfigurationEdit edit(std::optional<ConfigurationNumber> base, std::string editId) const
    {
        ConfigurationEdit edit;
        edit.routesText = texts.routes;
        edit.poolsText = texts.pools;
        edit.author = "asha";
        edit.baseNumber = base;
        edit.editId = std::move(editId);
        return edit;
    }

    AcceptedConfiguration first() const
    {
        return ConfigurationValidator(std::nullopt).accept(edit(std::nullopt, "first")).value();
    }

    /// Codes of the errors with which @p edit of the first record is refused; empty if it is accepted.
    std::vector<ErrorCode> refusalCodes(const ConfigurationEdit& edit) const
    {
        const auto result = ConfigurationValidator(first()).accept(edit);
        std::vector<ErrorCode> codes;
        for (const auto& error : result ? Errors() : result.error())
            codes.push_back(error.code);
        return codes;
    }

    static void replace(std::string& text, const std::string& from, const std::string& to)
    {
        const auto position = text.find(from);
        REQUIRE(position != std::string::npos);
        text.replace(position, from.size(), to);
    }
};

using Codes = std::vector<ErrorCode>;

} // namespace

TEST_CASE_METHOD(AcceptanceFixture, "edit based on the current number becomes the next record")
{
    auto next = edit(1, "second");
    replace(next.routesText, "/lookups", "/look-ups");
    const auto result = ConfigurationValidator(first()).accept(next);
    REQUIRE(result);
    CHECK(result.value().number == 2);
    CHECK(result.value().earlierEditIds == std::vector<std::string> { "first" });
}

TEST_CASE_METHOD(AcceptanceFixture, "edit that renames a route is refused and the message suggests the new name")
{
    auto next = edit(1, "second");
    replace(next.routesText, "[routes.lookup]", "[routes.look-up]");
    const auto result = ConfigurationValidator(first()).accept(next);
    REQUIRE_FALSE(result);
    REQUIRE(result.error().size() == 1);
    CHECK(result.error().front().code == ErrorCode::NameRemoved);
    CHECK(result.error().front().message.find("did you rename it to 'look-up'?") != std::string::npos);
    CHECK(result.error().front().message.find("--retire \"route lookup\"") != std::string::npos);
}

TEST_CASE_METHOD(AcceptanceFixture, "edit that removes a name is accepted only if it retires exactly that name")
{
    auto next = edit(1, "second");
    next.routesText = withoutEntry(texts, { EntryKind::Route, "lookup" }).value().routes;
    CHECK(refusalCodes(next) == Codes { ErrorCode::NameRemoved });
    next.retired = { { EntryKind::Route, "lokup" } };
    CHECK(refusalCodes(next) == Codes { ErrorCode::NameRemoved, ErrorCode::NameUnknown });
    next.retired = { { EntryKind::Route, "lookup" }, { EntryKind::Route, "invoices" } };
    CHECK(refusalCodes(next) == Codes { ErrorCode::ValueInvalid });
    next.retired = { { EntryKind::Route, "lookup" } };
    CHECK(refusalCodes(next).empty());
}

TEST_CASE_METHOD(AcceptanceFixture, "edit based on another or no number is refused with the current author and the differences")
{
    auto next = edit(std::nullopt, "second");
    replace(next.routesText, "/lookups", "/look-ups");
    CHECK(refusalCodes(next) == Codes { ErrorCode::BaseOutdated });
    next.baseNumber = 7;
    const auto result = ConfigurationValidator(first()).accept(next);
    REQUIRE_FALSE(result);
    CHECK(result.error().front().message.find("number 1 by 'asha' is in force; your edit would change: changed route lookup (path: /lookups -> /look-ups)") != std::string::npos);
}

TEST_CASE_METHOD(AcceptanceFixture, "edit that drains all targets of a pool is refused unless capacity loss is allowed")
{
    auto next = edit(1, "second");
    replace(next.poolsText, "draining = false", "draining = true");
    CHECK(refusalCodes(next).empty());
    replace(next.poolsText, "id = \"ledger-1\"", "draining = true\nid = \"ledger-1\"");
    CHECK(refusalCodes(next) == Codes { ErrorCode::CapacityLost });
    next.allowCapacityLoss = true;
    CHECK(refusalCodes(next).empty());
}

TEST_CASE_METHOD(AcceptanceFixture, "edit whose record would exceed maximumRecordBytes is refused")
{
    auto next = edit(1, "second");
    next.poolsText += "#" + std::string(maximumRecordBytes, 'x');
    CHECK(refusalCodes(next) == Codes { ErrorCode::RecordTooLarge });
}

TEST_CASE_METHOD(AcceptanceFixture, "write whose answer was lost is recognised as accepted by its edit ID, also after a later record")
{
    EditStateMachine apply(edit(std::nullopt, "mine"), 3);
    apply.onRecordRead(std::nullopt);
    REQUIRE(apply.state() == EditState::Write);
    const auto mine = apply.next();
    apply.onWriteFailed({ ErrorCode::OutcomeUnknown, "lost", {} });
    auto later = edit(1, "theirs");
    replace(later.routesText, "/lookups", "/look-ups");
    apply.onRecordRead(StoredRecord { toJson(ConfigurationValidator(mine).accept(later).value()), 9 });
    CHECK(apply.state() == EditState::Accepted);
}

TEST_CASE_METHOD(AcceptanceFixture, "edit during an outage is refused if nothing was written and unknown after a write without answer")
{
    EditStateMachine before(edit(std::nullopt, "mine"), 0);
    before.onReadFailed({ ErrorCode::Unavailable, "down", {} });
    CHECK(before.state() == EditState::Refused);
    EditStateMachine after(edit(std::nullopt, "mine"), 0);
    after.onRecordRead(std::nullopt);
    after.onWriteFailed({ ErrorCode::OutcomeUnknown, "lost", {} });
    CHECK(after.state() == EditState::Unknown);
}

TEST_CASE_METHOD(AcceptanceFixture, "edit with the texts in force and no base number changes nothing")
{
    EditStateMachine apply(edit(std::nullopt, "again"), 0);
    apply.onRecordRead(StoredRecord { toJson(first()), 5 });
    CHECK(apply.state() == EditState::Accepted);
    CHECK(apply.next().editId == "first");
}

TEST_CASE_METHOD(AcceptanceFixture, "draining a target and undoing it changes only the flag in the text and keeps the comments")
{
    const auto drained = withDraining(texts, TargetId("ledger-2"), true).value();
    CHECK(drained.pools.find("draining = true # since May") != std::string::npos);
    CHECK(withDraining(drained, TargetId("ledger-2"), false).value() == texts);
    const auto other = withDraining(texts, TargetId("ledger-1"), true).value();
    CHECK(other.pools.find("id = \"ledger-1\" # the old one") != std::string::npos);
    CHECK(parseTables(other.routes, other.pools).value().pools[0].targets[0].isDraining);
    const auto unknown = withDraining(texts, TargetId("leger-1"), true);
    CHECK(unknown.error().message == "there is no target 'leger-1'; did you mean 'ledger-1'?");
}

TEST_CASE_METHOD(AcceptanceFixture, "removing an entry from the text removes no other entry")
{
    const auto edited = withoutEntry(texts, { EntryKind::Route, "invoices" }).value();
    CHECK(describe(differences(parseTables(texts.routes, texts.pools).value(), parseTables(edited.routes, edited.pools).value()).front()) == "removed route invoices");
    CHECK(edited.routes.find("# clerks first") == 0);
}

TEST_CASE_METHOD(AcceptanceFixture, "adding and removing the based-on line leaves the routes text unchanged")
{
    const auto based = withBasedOn(texts.routes, 41);
    CHECK(basedOn(based) == 41U);
    CHECK(basedOn(withBasedOn(based, 42)) == 42U);
    CHECK(withoutBasedOn(based) == texts.routes);
    CHECK(parseTables(based, texts.pools));
}

TEST_CASE("list of refused edits keeps only the newest when it is full")
{
    RefusedEdits list;
    for (int at = 0; at < 20; ++at)
        list.add(makeRefusedEdit(at, "asha", 1, { { ErrorCode::NameRemoved, std::string(2000, 'x'), {} } }));
    const auto read = RefusedEdits::fromJson(list.toJson());
    CHECK(read.edits() == list.edits());
    CHECK(read.edits().size() == maximumRefusedEdits);
    CHECK(read.edits().front().refusedAt == 19);
    CHECK(read.edits().front().reasons.front().size() == maximumRefusalReasonBytes);
}
