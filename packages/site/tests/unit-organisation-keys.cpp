#include "cicadalb/site/OrganisationKeys.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace cicadalb;
using namespace std::chrono_literals;

namespace {

SiteOrganisation organisation(const std::string& name, const std::vector<std::string>& keys, std::optional<unsigned> priority = std::nullopt)
{
    SiteOrganisation result;
    result.name = OrganisationName(name);
    result.keyDigests.reserve(keys.size());
    for (const auto& key : keys)
        result.keyDigests.push_back(keyDigest(Secret(key)));
    result.priority = priority;
    return result;
}

std::vector<Secret> keysOf(const std::vector<std::string>& texts)
{
    return { texts.begin(), texts.end() };
}

struct KeysFixture {
    SiteConfiguration configuration;
    ConfigurationKnowledge knowledge { Duration(500ms), false };
    KeyValidity validity { 5s };

    KeysFixture() { configuration.organisations = { organisation("north", { "n1", "n2" }, 2), organisation("south", { "s1" }) }; }

    KeyCheck check(const std::vector<std::string>& presented, bool isPublic = false) const
    {
        return checkKeys(OrganisationKeys(configuration), isPublic, keysOf(presented), knowledge, validity);
    }
};

} // namespace

TEST_CASE_METHOD(KeysFixture, "organisation keys, key of an organisation, names it and its priority")
{
    const auto north = check({ "n2" });
    CHECK(north.decision == KeyDecision::Accepted);
    CHECK(north.organisation.value() == "north");
    CHECK(north.priority == 2U);
    CHECK_FALSE(check({ "s1" }).priority.has_value());
}

TEST_CASE_METHOD(KeysFixture, "organisation keys, no key, two keys, an unknown, empty or huge one, are refused")
{
    for (const auto& presented : std::vector<std::vector<std::string>> { {}, { "n1", "n1" }, { "n1", "s1" }, { "other" }, { "" }, { std::string(1U << 20U, 'n') } })
        CHECK(check(presented).decision == KeyDecision::Unknown);
}

TEST_CASE_METHOD(KeysFixture, "organisation keys, configuration that may be out of date, refuses no key for good")
{
    knowledge = { Duration(2500ms), true };
    CHECK(check({ "other" }).decision == KeyDecision::Undecided);
    CHECK(check({}).decision == KeyDecision::Undecided);
    CHECK(check({ "n1" }).decision == KeyDecision::Accepted);
    knowledge = { std::nullopt, true };
    CHECK(check({ "n1" }).decision == KeyDecision::Undecided);
}

TEST_CASE_METHOD(KeysFixture, "organisation keys, configuration older than their validity allows, are not relied on")
{
    knowledge = { Duration(3100ms), true };
    CHECK(check({ "n1" }).decision == KeyDecision::Undecided);
    validity = KeyValidity(0ms);
    CHECK(check({ "n1" }).decision == KeyDecision::Accepted);
}

TEST_CASE_METHOD(KeysFixture, "organisation keys, public route or site without organisations, are not needed")
{
    knowledge = { std::nullopt, true };
    CHECK(check({}, true).decision == KeyDecision::NotNeeded);
    CHECK(check({ "other" }, true).organisation.isEmpty());
    configuration.organisations.clear();
    CHECK(check({ "other" }).decision == KeyDecision::NotNeeded);
}

TEST_CASE_METHOD(KeysFixture, "organisation keys, key that moved to another organisation, is not accepted again for the former one")
{
    const OrganisationKeys keys(configuration);
    CHECK(checkDigest(keys, keyDigest(Secret("s1")), OrganisationName("south"), knowledge, validity).decision == KeyDecision::Accepted);
    CHECK(checkDigest(keys, keyDigest(Secret("s1")), OrganisationName("north"), knowledge, validity).decision == KeyDecision::Unknown);
}

TEST_CASE_METHOD(KeysFixture, "configuration, organisation twice or one key at two organisations, is refused by name")
{
    CHECK(checkOrganisations(configuration));
    auto twice = configuration;
    twice.organisations.push_back(organisation("north", { "n3" }));
    REQUIRE_FALSE(checkOrganisations(twice));
    CHECK(checkOrganisations(twice).error().message.find("north") != std::string::npos);
    auto shared = configuration;
    shared.organisations.push_back(organisation("east", { "s1" }));
    REQUIRE_FALSE(checkOrganisations(shared));
    CHECK(checkOrganisations(shared).error().message.find("south and east") != std::string::npos);
    CHECK(checkOrganisations(shared).error().message.find("s1") == std::string::npos);
}

TEST_CASE("short digest of a key is its beginning, and empty without a key")
{
    CHECK(shortKeyDigest(keyDigest(Secret("n1"))).size() == 8);
    CHECK(shortKeyDigest(keyDigest(Secret(""))).empty());
}

namespace {

constexpr auto validity = 5000ms;
constexpr auto maximumRecordAge = 2000ms;
constexpr auto horizon = 40000;

/// A configuration that the store holds from this time on.
struct Published {
    int at = 0;
    std::vector<std::string> keys;

    bool holds(const std::string& key) const { return std::find(keys.begin(), keys.end(), key) != keys.end(); }
};

/// The configurations of a day, the times as of which a host knows the store's state, and when it hears of it.
struct Day {
    std::vector<Published> published;
    /// Time as of which the state is known, by the time of the host's hearing it.
    std::map<int, int> knowledge;

    const Published& inForceAt(int time) const
    {
        auto found = std::find_if(published.rbegin(), published.rend(), [time](const auto& each) { return each.at <= time; });
        return *found;
    }

    std::optional<int> completeAsOf(int time) const
    {
        std::optional<int> newest;
        for (const auto& [heardAt, asOf] : knowledge) {
            if (heardAt <= time)
                newest = std::max(newest.value_or(asOf), asOf);
        }
        return newest;
    }

    /// Some configuration of the time from @p from to @p to holds the key, or all of them do.
    bool isHeld(const std::string& key, int from, int to, bool always) const
    {
        bool some = inForceAt(from).holds(key);
        bool all = some;
        for (const auto& each : published) {
            if (each.at <= from || each.at > to)
                continue;
            some = some || each.holds(key);
            all = all && each.holds(key);
        }
        return always ? all : some;
    }
};

Day arbitraryDay()
{
    static const std::vector<std::string> keys { "a", "b", "c" };
    Day day;
    day.published.push_back({ -100000, keys });
    std::vector<int> times = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, horizon));
    std::sort(times.begin(), times.end());
    for (const auto time : times) {
        Published next { time, {} };
        for (const auto& key : keys) {
            if (*rc::gen::arbitrary<bool>())
                next.keys.push_back(key);
        }
        day.published.push_back(next);
    }
    // Calls come back after a while; while the host is cut off or frozen none do.
    const auto cutFrom = *rc::gen::inRange(0, horizon);
    const auto cutUntil = cutFrom + *rc::gen::inRange(0, 15000);
    for (int time = 0; time < horizon + 10000;) {
        const auto delay = *rc::gen::inRange(0, 1500);
        const bool isCut = time + delay >= cutFrom && time < cutUntil;
        if (!isCut)
            day.knowledge[time + delay] = time;
        time += *rc::gen::inRange(50, 1200);
    }
    return day;
}

/// What the host decides at a time with what it knows then; an empty digest list stands for no configuration.
KeyCheck decide(const Day& day, const std::string& key, int time)
{
    SiteConfiguration configuration;
    const auto asOf = day.completeAsOf(time);
    ConfigurationKnowledge knowledge;
    std::vector<std::string> known { "unrelated" };
    if (asOf) {
        const auto& inForce = day.inForceAt(*asOf);
        known.insert(known.end(), inForce.keys.begin(), inForce.keys.end());
        knowledge = { Duration(std::chrono::milliseconds(time - *asOf)), time - *asOf > maximumRecordAge.count() };
    }
    configuration.organisations = { organisation("north", known) };
    return checkKeys(OrganisationKeys(configuration), false, keysOf({ key }), knowledge, KeyValidity(validity));
}

} // namespace

TEST_CASE("organisation keys, with configurations, delays, waits and cuts of any kind, no taken key is relied on and no valid one called unknown")
{
    CHECK(rc::check([] {
        const auto day = arbitraryDay();
        for (int number = 0; number < 50; ++number) {
            const auto key = *rc::gen::element<std::string>("a", "b", "c");
            const auto receivedAt = *rc::gen::inRange(0, horizon);
            const auto wait = *rc::gen::inRange(0, 8000);
            const auto first = decide(day, key, receivedAt);
            if (first.decision == KeyDecision::Unknown)
                RC_ASSERT(!day.isHeld(key, receivedAt - static_cast<int>(maximumRecordAge.count()), receivedAt, true));
            if (first.decision != KeyDecision::Accepted)
                continue;
            const auto sentAt = receivedAt + wait;
            if (decide(day, key, sentAt).decision == KeyDecision::Accepted)
                RC_ASSERT(day.isHeld(key, sentAt - static_cast<int>(validity.count()), sentAt, false));
        }
    }));
}
