#include "SiteStateCommand.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>

namespace cicadalb {

namespace {

    using nlohmann::json;

    constexpr std::string_view unknown = "unknown";
    constexpr double millisecondsPerSecond = 1000;

    /// Member of an object; null if the value is no object or lacks it.
    const json& member(const json& value, const char* key)
    {
        static const json none;
        const auto found = value.is_object() ? value.find(key) : value.end();
        return found == value.end() ? none : *found;
    }

    /// Text of a string, number or truth value, without control characters.
    std::string text(const json& value)
    {
        if (value.is_boolean())
            return value.get<bool>() ? "yes" : "no";
        if (value.is_number())
            return value.dump();
        if (!value.is_string())
            return std::string(unknown);
        auto result = value.get<std::string>();
        std::replace_if(
            result.begin(), result.end(), [](unsigned char character) { return character < ' ' || character == '\x7f'; }, '?');
        return result;
    }

    std::string text(const json& object, const char* key) { return text(member(object, key)); }

    std::string secondsText(const json& milliseconds)
    {
        if (!milliseconds.is_number())
            return std::string(unknown);
        std::array<char, 32> result {};
        std::snprintf(result.data(), result.size(), "%.1f s", milliseconds.get<double>() / millisecondsPerSecond);
        return result.data();
    }

    /// Number and names of a list of hosts.
    std::string hostsText(const json& hosts)
    {
        if (!hosts.is_array())
            return std::string(unknown);
        auto result = std::to_string(hosts.size());
        for (const auto& host : hosts)
            result += " " + text(host);
        return result;
    }

    void addLine(CommandOutcome& outcome, const std::string& line) { outcome.text.append(line).append("\n"); }

    void addOrganisations(CommandOutcome& outcome, const json& organisations)
    {
        if (!organisations.is_array())
            return addLine(outcome, "  organisations: unknown");
        addLine(outcome, "  organisations: " + std::to_string(organisations.size()));
        for (const auto& organisation : organisations) {
            const auto& priority = member(organisation, "priority");
            addLine(outcome, "    " + text(organisation, "name") + ": priority " + (priority.is_null() ? "of the route" : text(priority)) + ", keys " + text(organisation, "keys"));
        }
    }

    void addUsage(CommandOutcome& outcome, const json& usage)
    {
        if (!usage.is_object())
            return addLine(outcome, "  usage reports: none here");
        const auto& last = member(usage, "last");
        addLine(outcome, "  usage reports: waiting " + text(usage, "waiting"));
        if (!last.is_object())
            return addLine(outcome, "    none sent yet");
        addLine(outcome, "    window " + text(last, "window") + ": requests " + text(last, "requests") + " of organisations " + text(last, "organisations") + ", " + text(last, "outcome") + " " + secondsText(member(last, "age-ms")) + " after its end");
        addLine(outcome, "    hosts with counts " + text(last, "hosts") + "; missing " + hostsText(member(last, "missing")) + "; silent " + hostsText(member(last, "silent")));
    }

    void addOrders(CommandOutcome& outcome, const json& orders)
    {
        if (!orders.is_array())
            return addLine(outcome, "  orders of engines: none here");
        addLine(outcome, "  orders of engines: " + std::to_string(orders.size()));
        for (const auto& order : orders) {
            const auto& reclaimable = member(order, "reclaimable");
            const auto* kind = !reclaimable.is_boolean() ? "kind unknown" : reclaimable.get<bool>() ? "reclaimable"
                                                                                                    : "plain";
            const auto& accepted = member(order, "accepted");
            const auto* state = !accepted.is_boolean() ? "unknown" : accepted.get<bool>() ? "in force"
                                                                                          : "not accepted yet";
            addLine(outcome, "    " + text(order, "pool") + " in " + text(order, "failure-domain") + ", " + kind + ": " + text(order, "from") + " -> " + text(order, "engines") + ", cause " + text(order, "cause") + ", " + state);
        }
    }

    void addHost(CommandOutcome& outcome, const std::string& address, const json& dump)
    {
        const auto& site = member(dump, "site");
        addLine(outcome, text(dump, "host") + " (" + address + "): ready " + text(dump, "ready"));
        if (!site.is_object())
            return addLine(outcome, "  state of the site: unknown; the process is of another build or is not part of a site");
        const auto& configuration = member(site, "configuration");
        addLine(outcome, "  configuration: version " + text(configuration, "version") + ", age " + secondsText(member(configuration, "age-ms")));
        addOrganisations(outcome, member(site, "organisations"));
        const auto& permits = member(site, "permits");
        addLine(outcome, "  permits: given out here " + text(permits, "granting") + ", asking hosts " + text(permits, "asking-hosts") + ", targets with limits " + text(permits, "limited-targets"));
        addLine(outcome, "  usage counts all delivered: " + text(site, "usage-delivered"));
        const auto& work = member(site, "work");
        if (!work.is_object())
            return;
        addLine(outcome, "  work: submissions " + text(work, "submissions") + ", running " + text(work, "running") + ", waiting " + text(work, "waiting") + ", placement paused " + text(work, "placement-paused"));
        addUsage(outcome, member(site, "usage"));
        addOrders(outcome, member(site, "orders"));
    }

    /// Hosts that state that they coordinate, or else what the others know of the coordinator.
    void addCoordinators(CommandOutcome& outcome, const json& states)
    {
        std::set<std::string> claims;
        std::set<std::string> reports;
        for (const auto& [address, dump] : states.items()) {
            const auto& coordinator = member(member(dump, "site"), "coordinator");
            if (!coordinator.is_object())
                continue;
            const auto& duration = member(coordinator, "coordinating-for-ms");
            const auto claim = text(coordinator, "host") + ", fencing number " + text(coordinator, "fence");
            if (duration.is_null())
                reports.insert(claim + ", as known to " + text(dump, "host"));
            else
                claims.insert(claim + ", for " + secondsText(duration));
        }
        outcome.json["coordinators"] = claims;
        if (claims.size() > 1)
            addLine(outcome, "several processes state that they coordinate; targets and platform obey the highest fencing number:");
        if (claims.empty() && reports.empty())
            return addLine(outcome, "coordinator: unknown");
        for (const auto& claim : claims)
            addLine(outcome, "coordinator: " + claim);
        for (const auto& report : reports)
            addLine(outcome, (claims.empty() ? "coordinator: " : "  ") + report);
    }

} // namespace

CommandOutcome describeSite(const HostStates& hosts)
{
    CommandOutcome outcome;
    if (!hosts.errors.empty())
        outcome = failureOutcome(failureOutcome(hosts.errors.front()).exitCode, hosts.errors);
    addCoordinators(outcome, hosts.states);
    auto sites = json::object();
    for (const auto& [address, dump] : hosts.states.items()) {
        addHost(outcome, address, dump);
        sites[address] = member(dump, "site");
    }
    outcome.json["sites"] = std::move(sites);
    return outcome;
}

Task<CommandOutcome> siteStateCommand(boost::asio::any_io_executor executor, HostOptions options)
{
    const auto hosts = co_await fetchStates(std::move(executor), std::move(options));
    co_return describeSite(hosts);
}

} // namespace cicadalb
