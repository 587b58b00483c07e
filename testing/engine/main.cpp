#include "common/Arguments.h"
#include "common/StandInServer.h"

#include "cicadalb/base/Hash.h"
#include "cicadalb/base/Random.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cmath>
#include <list>
#include <map>
#include <set>
#include <tuple>

/// @file
/// Stand-in for a model engine. It streams chunks labelled with their weight version, swaps weights and reports its load with a delay.

namespace cicadalb::standin {

namespace {

    using TimePoint = std::chrono::steady_clock::time_point;

    struct Options {
        unsigned slots = 8;
        double tokensPerSecond = 400;
        unsigned chunkTokens = 8;
        unsigned medianTokens = 64;
        /// Standard deviation of the logarithm of a generation's length; 0 makes all lengths equal.
        double logarithmicSpread = 0.8;
        unsigned prefillMilliseconds = 40;
        /// Number of prompt prefixes that the cache holds.
        std::size_t cachedPrefixes = 64;
        unsigned swapMilliseconds = 300;
        unsigned loadLagMilliseconds = 200;
        std::uint64_t version = 1;
        std::uint64_t seed = 1;
        bool checksFencingNumber = false;
    };

    struct Faults {
        bool isFrozen = false;
        bool isUnlabelled = false;
        bool isLeaving = false;
        /// Numbers of coming requests or weight swaps that fail in this way.
        unsigned truncatedAnswers = 0;
        unsigned refusals = 0;
        unsigned failedSwaps = 0;
    };

    struct Counters {
        std::uint64_t started = 0;
        std::uint64_t finished = 0;
        std::uint64_t cancelled = 0;
        std::uint64_t refused = 0;
        std::uint64_t tokens = 0;
        std::uint64_t prefixHits = 0;
        std::uint64_t prefixMisses = 0;
    };

    struct Order {
        std::uint64_t version = 0;
        std::uint64_t fencingNumber = 0;
        bool isAccepted = false;
    };

    struct LoadSample {
        std::size_t running = 0;
        std::size_t queued = 0;
        std::uint64_t version = 0;
        std::uint64_t fencingNumber = 0;
        bool isLeaving = false;
        TimePoint sampledAt;
    };

    /// Position of a generation in the queue: the lower priority number first, then the earlier arrival.
    struct QueuePosition {
        unsigned priority = 1;
        std::uint64_t arrival = 0;
        bool operator<(const QueuePosition& other) const { return std::tie(priority, arrival) < std::tie(other.priority, other.arrival); }
    };

    class EngineStandIn {
    public:
        EngineStandIn(boost::asio::io_context& context, std::uint16_t port, const Options& options)
            : m_server(context, port)
            , m_options(options)
            , m_version(options.version)
            , m_changed(context.get_executor())
        {
            route("POST", "/generate", &EngineStandIn::generate);
            route("POST", "/cancel", &EngineStandIn::cancel);
            route("POST", "/orders", &EngineStandIn::order);
            route("GET", "/load", &EngineStandIn::load);
            m_server.onControl([this](const Json& command) { applyControl(command); });
            m_server.onCounters([this] { return counters(); });
            boost::asio::co_spawn(context, sampleLoad(), boost::asio::detached);
        }

        void run() { m_server.run(); }

    private:
        using Handler = Task<void> (EngineStandIn::*)(Exchange&);

        void route(const char* method, const char* prefix, Handler handler)
        {
            m_server.route(method, prefix, [this, handler](Exchange& exchange) { return (this->*handler)(exchange); });
        }

        Task<void> generate(Exchange& exchange)
        {
            if (decrementIfPositive(m_faults.refusals)) {
                ++m_counters.refused;
                const std::vector<HeaderField> fields { { "X-Not-Run", "true" } };
                co_await exchange.respondWithError(503, "refused", fields);
                co_return;
            }
            const auto body = exchange.body();
            const auto id = body.value("request-id", std::string());
            ++m_counters.started;
            co_await waitForSlot(body.value("priority", 1U), id);
            ++m_running;
            co_await stream(exchange, body, id);
            --m_running;
            m_cancelledIds.erase(id);
            m_changed.notifyAll();
        }

        Task<void> waitForSlot(unsigned priority, const std::string& id)
        {
            const QueuePosition position { priority, ++m_arrivalCount };
            m_queue.insert(position);
            while ((m_running >= m_options.slots || m_queue.begin()->arrival != position.arrival) && !m_cancelledIds.contains(id))
                co_await m_changed.wait(std::chrono::hours(1));
            m_queue.erase(position);
            m_changed.notifyAll();
        }

        Task<void> stream(Exchange& exchange, const Json& body, const std::string& id)
        {
            const auto length = generationLength(id, body.value("maximum-tokens", 256U));
            co_await sleepFor(prefillTime(body.value("prefix-key", std::string())));
            co_await exchange.beginStream(200, "application/x-ndjson");
            const bool isTruncated = decrementIfPositive(m_faults.truncatedAnswers);
            unsigned tokens = 0;
            while (tokens < length && !exchange.isClosing() && !m_cancelledIds.contains(id)) {
                const auto count = std::min(m_options.chunkTokens, length - tokens);
                co_await sleepFor(std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::duration<double>(count / m_options.tokensPerSecond)));
                while (m_faults.isFrozen || m_isSwapping)
                    co_await m_changed.wait(std::chrono::hours(1));
                tokens += count;
                m_counters.tokens += count;
                co_await exchange.writeChunk(chunk(id, count));
                if (isTruncated && tokens * 2 >= length)
                    exchange.close();
            }
            co_await finish(exchange, id, length);
        }

        Task<void> finish(Exchange& exchange, const std::string& id, unsigned length)
        {
            if (exchange.isClosing() || m_cancelledIds.contains(id)) {
                ++m_counters.cancelled;
                exchange.close();
                co_return;
            }
            ++m_counters.finished;
            const Json last { { "done", true }, { "tokens", length } };
            co_await exchange.writeChunk(last.dump() + "\n");
            co_await exchange.endStream();
        }

        std::string chunk(const std::string& id, unsigned count) const
        {
            Json line { { "text", id + " " }, { "tokens", count } };
            if (!m_faults.isUnlabelled)
                line["version"] = m_version;
            return line.dump() + "\n";
        }

        /// Log-normal length in tokens; the same for the same request and seed.
        unsigned generationLength(const std::string& id, unsigned maximum) const
        {
            Random random(placementHash(id, m_options.seed));
            const double radius = std::sqrt(-2 * std::log(1 - randomUnit(random)));
            const double normal = radius * std::cos(2 * std::acos(-1.0) * randomUnit(random));
            const double length = m_options.medianTokens * std::exp(m_options.logarithmicSpread * normal);
            return std::clamp(static_cast<unsigned>(length), 1U, std::max(1U, maximum));
        }

        /// Time before the first token; a cached prefix reduces it to a tenth.
        Milliseconds prefillTime(const std::string& prefixKey)
        {
            const Milliseconds uncachedTime(m_options.prefillMilliseconds);
            const auto found = std::find(m_cachedPrefixes.begin(), m_cachedPrefixes.end(), prefixKey);
            const bool isCached = !prefixKey.empty() && found != m_cachedPrefixes.end();
            if (found != m_cachedPrefixes.end())
                m_cachedPrefixes.erase(found);
            m_cachedPrefixes.push_front(prefixKey);
            if (m_cachedPrefixes.size() > m_options.cachedPrefixes)
                m_cachedPrefixes.pop_back();
            ++(isCached ? m_counters.prefixHits : m_counters.prefixMisses);
            return isCached ? uncachedTime / 10 : uncachedTime;
        }

        Task<void> cancel(Exchange& exchange)
        {
            m_cancelledIds.insert(exchange.body().value("request-id", std::string()));
            m_changed.notifyAll();
            co_await exchange.respond(200, Json::object());
        }

        Task<void> order(Exchange& exchange)
        {
            const auto body = exchange.body();
            const auto version = body.value("version", std::uint64_t { 0 });
            const auto fencingNumber = body.value("fence", std::uint64_t { 0 });
            const bool isAccepted = !m_options.checksFencingNumber || fencingNumber >= m_fencingNumber;
            m_orders.push_back({ version, fencingNumber, isAccepted });
            if (!isAccepted) {
                const Json refusal { { "fence", m_fencingNumber } };
                co_await exchange.respond(409, refusal);
                co_return;
            }
            m_fencingNumber = fencingNumber;
            co_await swapWeights(exchange, version);
        }

        Task<void> swapWeights(Exchange& exchange, std::uint64_t version)
        {
            while (m_isSwapping)
                co_await m_changed.wait(std::chrono::hours(1));
            m_isSwapping = true;
            co_await sleepFor(Milliseconds(m_options.swapMilliseconds));
            const bool hasFailed = decrementIfPositive(m_faults.failedSwaps);
            if (!hasFailed)
                m_version = version;
            m_isSwapping = false;
            m_changed.notifyAll();
            const Json answer { { "version", m_version } };
            co_await exchange.respond(hasFailed ? 500 : 200, answer);
        }

        Task<void> sampleLoad()
        {
            for (;;) {
                m_loadSample = LoadSample { m_running, m_queue.size(), m_version, m_fencingNumber, m_faults.isLeaving, std::chrono::steady_clock::now() };
                co_await sleepFor(Milliseconds(m_options.loadLagMilliseconds));
            }
        }

        Task<void> load(Exchange& exchange)
        {
            const auto age = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - m_loadSample.sampledAt);
            const Json answer { { "running", m_loadSample.running }, { "queued", m_loadSample.queued }, { "version", m_loadSample.version },
                { "fence", m_loadSample.fencingNumber }, { "leaving", m_loadSample.isLeaving }, { "age-ms", age.count() } };
            co_await exchange.respond(200, answer);
        }

        void applyControl(const Json& command)
        {
            assignIfPresent(command, "freeze", m_faults.isFrozen);
            assignIfPresent(command, "unlabelled", m_faults.isUnlabelled);
            assignIfPresent(command, "leaving", m_faults.isLeaving);
            assignIfPresent(command, "cut-answers", m_faults.truncatedAnswers);
            assignIfPresent(command, "refuse", m_faults.refusals);
            assignIfPresent(command, "fail-swaps", m_faults.failedSwaps);
            assignIfPresent(command, "tokens-per-second", m_options.tokensPerSecond);
            assignIfPresent(command, "swap-ms", m_options.swapMilliseconds);
            m_changed.notifyAll();
        }

        Json counters() const
        {
            Json orders = Json::array();
            for (const auto& order : m_orders)
                orders.push_back({ { "version", order.version }, { "fence", order.fencingNumber }, { "obeyed", order.isAccepted } });
            return { { "started", m_counters.started }, { "finished", m_counters.finished }, { "cancelled", m_counters.cancelled },
                { "refused", m_counters.refused }, { "tokens", m_counters.tokens }, { "prefix-hits", m_counters.prefixHits },
                { "prefix-misses", m_counters.prefixMisses }, { "running", m_running }, { "queued", m_queue.size() },
                { "version", m_version }, { "fence", m_fencingNumber }, { "orders", orders } };
        }

        StandInServer m_server;
        Options m_options;
        Faults m_faults;
        std::uint64_t m_version;
        std::uint64_t m_fencingNumber = 0;
        bool m_isSwapping = false;
        std::size_t m_running = 0;
        std::uint64_t m_arrivalCount = 0;
        std::set<QueuePosition> m_queue;
        std::set<std::string> m_cancelledIds;
        std::list<std::string> m_cachedPrefixes;
        std::vector<Order> m_orders;
        Counters m_counters;
        LoadSample m_loadSample;
        AsyncCondition m_changed;
    };

} // namespace

} // namespace cicadalb::standin

int main(int argc, char** argv)
{
    using namespace cicadalb::standin;
    Options options;
    Arguments arguments("Stand-in for a model engine");
    arguments.option("--slots", options.slots, "Generations that run at once");
    arguments.option("--tokens-per-second", options.tokensPerSecond, "Tokens per second of one generation");
    arguments.option("--chunk-tokens", options.chunkTokens, "Tokens in a chunk");
    arguments.option("--median-tokens", options.medianTokens, "Median length of a generation");
    arguments.option("--tail", options.logarithmicSpread, "Standard deviation of the logarithm of the length");
    arguments.option("--prefill-ms", options.prefillMilliseconds, "Time before the first token without a cached prefix");
    arguments.option("--cached-prefixes", options.cachedPrefixes, "Number of prompt prefixes that the cache holds");
    arguments.option("--swap-ms", options.swapMilliseconds, "Time of a weight swap");
    arguments.option("--load-lag-ms", options.loadLagMilliseconds, "Time between samples of the load report");
    arguments.option("--version", options.version, "Weight version at the start");
    arguments.option("--seed", options.seed, "Seed of the lengths");
    arguments.flag("--fence-check", options.checksFencingNumber, "Refuse orders with a lower fencing number");
    arguments.parse(argc, argv);
    boost::asio::io_context context(1);
    EngineStandIn standIn(context, arguments.port, options);
    standIn.run();
}
