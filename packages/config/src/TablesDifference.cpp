#include "cicadalb/config/TablesDifference.h"

#include "cicadalb/base/EnumTable.h"

#include <functional>
#include <map>
#include <sstream>

namespace cicadalb {

namespace {

    constexpr auto changeKindNames = std::to_array<EnumName<ChangeKind>>({
        { ChangeKind::Added, "added" },
        { ChangeKind::Removed, "removed" },
        { ChangeKind::Changed, "changed" },
    });

    std::string valueText(const std::string& value) { return value; }
    std::string valueText(bool value) { return value ? "true" : "false"; }
    std::string valueText(std::chrono::milliseconds value) { return std::to_string(value.count()); }

    template <typename Tag>
    std::string valueText(const Identifier<Tag>& value) { return value.value(); }

    template <typename Number>
    requires std::is_arithmetic_v<Number>
        std::string valueText(Number value)
    {
        std::ostringstream stream;
        stream << value;
        return stream.str();
    }

    template <typename Enum>
    requires std::is_enum_v<Enum>
        std::string valueText(Enum value) { return std::string(name(value)); }

    template <typename T>
    std::string valueText(const std::vector<T>& values)
    {
        std::string list = "[";
        for (const auto& value : values)
            list += (list.size() > 1 ? " " : "") + valueText(value);
        return list + "]";
    }

    /// A member of an entry that is compared, with its key in descriptions of differences.
    template <typename Entry>
    class Member {
    public:
        template <typename T>
        Member(std::string_view key, T Entry::*member)
            : m_describe([key, member](const Entry& from, const Entry& to) -> std::string {
                if (from.*member == to.*member)
                    return {};
                return std::string(key) + ": " + valueText(from.*member) + " -> " + valueText(to.*member);
            })
        {
        }

        std::string describe(const Entry& from, const Entry& to) const { return m_describe(from, to); }

    private:
        std::function<std::string(const Entry&, const Entry&)> m_describe;
    };

    template <typename Entry>
    using Members = std::vector<Member<Entry>>;

    const Members<Route> routeMembers {
        { "path", &Route::path },
        { "methods", &Route::methods },
        { "pool", &Route::pool },
        { "callers", &Route::callers },
        { "trainers", &Route::trainers },
        { "repeatable", &Route::isIdempotent },
        { "priority", &Route::priority },
        { "timeout-ms", &Route::timeout },
        { "retry-percent", &Route::retryPercent },
    };

    const Members<Trainer> trainerMembers {
        { "share", &Trainer::share },
        { "staleness-bound", &Trainer::stalenessBound },
        { "staleness-weight", &Trainer::stalenessWeight },
    };

    const Members<Pool> poolMembers {
        { "kind", &Pool::kind },
        { "model", &Pool::model },
        { "fence-check", &Pool::fenceCheck },
        { "serving-share", &Pool::servingShare },
        { "maximum-in-flight", &Pool::maximumInFlight },
    };

    const Members<Target> targetMembers {
        { "address", &Target::address },
        { "port", &Target::port },
        { "failure-domain", &Target::failureDomain },
        { "draining", &Target::isDraining },
    };

    const Members<Caller> callerMembers;

    void appendItem(std::string& list, const std::string& item)
    {
        if (!item.empty())
            list += (list.empty() ? "" : ", ") + item;
    }

    template <typename Entry>
    std::string changedMembers(const Members<Entry>& members, const Entry& from, const Entry& to)
    {
        std::string detail;
        for (const auto& member : members)
            appendItem(detail, member.describe(from, to));
        if constexpr (requires { from.tokenSha256; }) {
            if (from.tokenSha256 != to.tokenSha256)
                appendItem(detail, "token replaced");
        }
        return detail;
    }

    template <typename Entry>
    using EntryMap = std::map<std::string, const Entry*>;

    template <typename Entry>
    EntryMap<Entry> entriesByName(const std::vector<Entry>& entries)
    {
        EntryMap<Entry> map;
        for (const auto& entry : entries)
            map.emplace(entry.name.value(), &entry);
        return map;
    }

    /// Targets by their names in differences, "POOL/ID".
    EntryMap<Target> targetsByName(const Tables& tables)
    {
        EntryMap<Target> map;
        for (const auto& pool : tables.pools) {
            for (const auto& target : pool.targets)
                map.emplace(pool.name.value() + "/" + target.id.value(), &target);
        }
        return map;
    }

    template <typename Entry>
    void appendDifferences(EntryKind kind, const EntryMap<Entry>& from, const EntryMap<Entry>& to, const Members<Entry>& members, std::vector<Difference>& differences)
    {
        for (const auto& [name, entry] : from) {
            const auto found = to.find(name);
            if (found == to.end())
                differences.push_back({ ChangeKind::Removed, kind, name, {} });
            else if (auto detail = changedMembers(members, *entry, *found->second); !detail.empty())
                differences.push_back({ ChangeKind::Changed, kind, name, std::move(detail) });
        }
        for (const auto& [name, entry] : to) {
            if (!from.contains(name))
                differences.push_back({ ChangeKind::Added, kind, name, {} });
        }
    }

} // namespace

std::string_view name(ChangeKind kind) noexcept { return nameIn(changeKindNames, kind); }

std::string describe(const Difference& difference)
{
    auto line = std::string(name(difference.change)) + " ";
    line += name(difference.kind);
    line += " " + difference.name;
    return difference.detail.empty() ? line : line + " (" + difference.detail + ")";
}

std::vector<Difference> differences(const Tables& from, const Tables& to)
{
    std::vector<Difference> result;
    appendDifferences(EntryKind::Route, entriesByName(from.routes), entriesByName(to.routes), routeMembers, result);
    appendDifferences(EntryKind::Pool, entriesByName(from.pools), entriesByName(to.pools), poolMembers, result);
    appendDifferences(EntryKind::Caller, entriesByName(from.callers), entriesByName(to.callers), callerMembers, result);
    appendDifferences(EntryKind::Trainer, entriesByName(from.trainers), entriesByName(to.trainers), trainerMembers, result);
    appendDifferences(EntryKind::Target, targetsByName(from), targetsByName(to), targetMembers, result);
    return result;
}

} // namespace cicadalb
