#include "common/Arguments.h"
#include "common/StandInServer.h"
#include "common/TokenBucket.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <map>
#include <optional>

/// @file
/// Stand-in for the platform's key-value service.

namespace cicadalb::standin {

namespace {

    using TimePoint = std::chrono::steady_clock::time_point;

    constexpr std::size_t maximumValueBytes = std::size_t { 1 } << 20U;
    constexpr Milliseconds leaseCheckInterval { 10 };

    struct Options {
        double writesPerSecond = 400;
        double readsPerSecond = 2000;
    };

    struct Entry {
        std::string value;
        /// Revision of the value; 0 if the key is absent.
        std::uint64_t revision = 0;
        /// Revision of the service at the key's latest change; a removal is a change.
        std::uint64_t changedAt = 0;
        std::uint64_t lease = 0;
    };

    struct Lease {
        Milliseconds timeToLive { 0 };
        TimePoint expiresAt;
    };

    struct Counters {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t watches = 0;
        std::uint64_t conflicts = 0;
        std::uint64_t rateRefusals = 0;
    };

    class KeyValueStandIn {
    public:
        KeyValueStandIn(boost::asio::io_context& context, const Options& options, std::uint16_t port)
            : m_server(context, port)
            , m_changed(context.get_executor())
            , m_writeBucket(options.writesPerSecond)
            , m_readBucket(options.readsPerSecond)
        {
            route("GET", "/kv/", &KeyValueStandIn::read);
            route("GET", "/kv", &KeyValueStandIn::list);
            route("PUT", "/kv/", &KeyValueStandIn::compareAndSwap);
            route("POST", "/leases/", &KeyValueStandIn::renewLease);
            route("POST", "/leases", &KeyValueStandIn::grantLease);
            route("DELETE", "/leases/", &KeyValueStandIn::releaseLease);
            route("GET", "/watch", &KeyValueStandIn::watch);
            m_server.onCounters([this] { return counters(); });
            m_server.onControl([this](const Json& command) { applyControl(command); });
            boost::asio::co_spawn(context, expireLeases(), boost::asio::detached);
        }

        void run() { m_server.run(); }

    private:
        using Handler = Task<void> (KeyValueStandIn::*)(Exchange&);

        void route(const char* method, const char* prefix, Handler handler)
        {
            m_server.route(method, prefix, [this, handler](Exchange& exchange) { return (this->*handler)(exchange); });
        }

        bool admitRead()
        {
            ++m_counters.reads;
            return takeToken(m_readBucket);
        }

        bool admitWrite()
        {
            ++m_counters.writes;
            return takeToken(m_writeBucket);
        }

        bool takeToken(TokenBucket& bucket)
        {
            const bool isWithinRate = bucket.take(std::chrono::steady_clock::now());
            m_counters.rateRefusals += isWithinRate ? 0 : 1;
            return isWithinRate;
        }

        static Task<void> respondRateLimited(Exchange& exchange)
        {
            co_await exchange.respondWithError(429, "rate limit exceeded");
        }

        static Json toJson(const std::string& key, const Entry& entry)
        {
            return { { "key", key }, { "value", entry.value }, { "revision", entry.revision } };
        }

        Task<void> read(Exchange& exchange)
        {
            if (!admitRead()) {
                co_await respondRateLimited(exchange);
                co_return;
            }
            const std::string key(exchange.pathAfterPrefix());
            const auto found = m_entries.find(key);
            if (found == m_entries.end() || found->second.revision == 0) {
                co_await exchange.respondWithError(404, "absent");
                co_return;
            }
            const auto entry = toJson(key, found->second);
            co_await exchange.respond(200, entry);
        }

        Task<void> list(Exchange& exchange)
        {
            if (!admitRead()) {
                co_await respondRateLimited(exchange);
                co_return;
            }
            auto entries = changedEntries(exchange.query("prefix"), 0);
            std::erase_if(entries, [](const Json& entry) { return entry.at("revision") == 0; });
            const Json answer { { "entries", entries }, { "revision", m_revision } };
            co_await exchange.respond(200, answer);
        }

        std::vector<Json> changedEntries(const std::string& prefix, std::uint64_t after) const
        {
            std::vector<Json> entries;
            for (auto found = m_entries.lower_bound(prefix); found != m_entries.end() && found->first.starts_with(prefix); ++found) {
                if (found->second.changedAt > after)
                    entries.push_back(toJson(found->first, found->second));
            }
            return entries;
        }

        Task<void> compareAndSwap(Exchange& exchange)
        {
            if (!admitWrite()) {
                co_await respondRateLimited(exchange);
                co_return;
            }
            const auto body = exchange.body();
            auto value = body.value("value", std::string());
            const auto lease = body.value("lease", std::uint64_t { 0 });
            if (value.size() > maximumValueBytes) {
                co_await exchange.respondWithError(413, "value is larger than 1 MiB");
                co_return;
            }
            if (lease != 0 && !m_leases.contains(lease)) {
                co_await exchange.respondWithError(404, "lease has lapsed");
                co_return;
            }
            auto& entry = m_entries[std::string(exchange.pathAfterPrefix())];
            if (entry.revision != body.value("expected", std::uint64_t { 0 })) {
                ++m_counters.conflicts;
                const Json conflict { { "revision", entry.revision } };
                co_await exchange.respond(409, conflict);
                co_return;
            }
            ++m_revision;
            entry = Entry { std::move(value), m_revision, m_revision, lease };
            m_changed.notifyAll();
            const Json answer { { "revision", m_revision } };
            co_await exchange.respond(200, answer);
        }

        Task<void> grantLease(Exchange& exchange)
        {
            if (!admitWrite()) {
                co_await respondRateLimited(exchange);
                co_return;
            }
            const Milliseconds timeToLive(exchange.body().value("ttl-ms", 1000));
            const auto lease = ++m_lastLeaseId;
            m_leases[lease] = Lease { timeToLive, std::chrono::steady_clock::now() + timeToLive };
            const Json answer { { "lease", lease } };
            co_await exchange.respond(200, answer);
        }

        Task<void> renewLease(Exchange& exchange)
        {
            if (!admitWrite()) {
                co_await respondRateLimited(exchange);
                co_return;
            }
            const auto lease = m_leases.find(leaseIdIn(exchange));
            const bool isHeld = lease != m_leases.end() && exchange.pathAfterPrefix().ends_with("/renew");
            if (isHeld)
                lease->second.expiresAt = std::chrono::steady_clock::now() + lease->second.timeToLive;
            co_await exchange.respond(isHeld ? 200 : 404, Json::object());
        }

        Task<void> releaseLease(Exchange& exchange)
        {
            if (!admitWrite()) {
                co_await respondRateLimited(exchange);
                co_return;
            }
            removeLease(leaseIdIn(exchange));
            co_await exchange.respond(200, Json::object());
        }

        static std::uint64_t leaseIdIn(const Exchange& exchange)
        {
            return std::strtoull(std::string(exchange.pathAfterPrefix()).c_str(), nullptr, 10);
        }

        Task<void> watch(Exchange& exchange)
        {
            ++m_counters.watches;
            if (!admitRead()) {
                co_await respondRateLimited(exchange);
                co_return;
            }
            const auto prefix = exchange.query("prefix");
            const auto after = exchange.queryNumber("after", 0);
            const auto end = std::chrono::steady_clock::now() + Milliseconds(exchange.queryNumber("wait-ms", 0));
            auto entries = changedEntries(prefix, after);
            while (entries.empty() && std::chrono::steady_clock::now() < end) {
                co_await m_changed.wait(end - std::chrono::steady_clock::now());
                entries = changedEntries(prefix, after);
            }
            const Json answer { { "entries", entries }, { "revision", m_revision } };
            co_await exchange.respond(200, answer);
        }

        Task<void> expireLeases()
        {
            for (;;) {
                co_await sleepFor(leaseCheckInterval);
                const auto now = std::chrono::steady_clock::now();
                for (auto next = m_leases.begin(); next != m_leases.end();) {
                    const auto lease = next++;
                    if (lease->second.expiresAt <= now)
                        removeLease(lease->first);
                }
            }
        }

        void removeLease(std::uint64_t lease)
        {
            if (m_leases.erase(lease) == 0)
                return;
            for (auto& [key, entry] : m_entries) {
                if (entry.lease != lease)
                    continue;
                ++m_revision;
                entry = Entry { {}, 0, m_revision, 0 };
            }
            m_changed.notifyAll();
        }

        void applyControl(const Json& command)
        {
            if (command.contains("writes-per-second"))
                m_writeBucket.setRate(command.at("writes-per-second"));
            if (command.contains("reads-per-second"))
                m_readBucket.setRate(command.at("reads-per-second"));
        }

        Json counters() const
        {
            return { { "reads", m_counters.reads }, { "writes", m_counters.writes }, { "watches", m_counters.watches },
                { "conflicts", m_counters.conflicts }, { "rate-refusals", m_counters.rateRefusals },
                { "revision", m_revision }, { "leases", m_leases.size() } };
        }

        StandInServer m_server;
        AsyncCondition m_changed;
        TokenBucket m_writeBucket;
        TokenBucket m_readBucket;
        std::map<std::string, Entry> m_entries;
        std::map<std::uint64_t, Lease> m_leases;
        std::uint64_t m_revision = 0;
        std::uint64_t m_lastLeaseId = 0;
        Counters m_counters;
    };

} // namespace

} // namespace cicadalb::standin

int main(int argc, char** argv)
{
    using namespace cicadalb::standin;
    Options options;
    Arguments arguments("Stand-in for the platform's key-value service");
    arguments.option("--writes-per-second", options.writesPerSecond, "Writes answered in a second");
    arguments.option("--reads-per-second", options.readsPerSecond, "Reads and watches answered in a second");
    arguments.parse(argc, argv);
    boost::asio::io_context context(1);
    KeyValueStandIn standIn(context, options, arguments.port);
    standIn.run();
}
