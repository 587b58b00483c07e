#include "common/Arguments.h"
#include "common/StandInServer.h"

#include "cicadalb/base/Random.h"

#include <cmath>
#include <map>

/// @file
/// Stand-in for a plain service such as a ledger. It counts how often each request ran.

namespace cicadalb::standin {

namespace {

    struct Options {
        double serviceMilliseconds = 2;
        /// Divisor of the service time.
        double speedFactor = 1;
        unsigned slots = 16;
        std::uint64_t seed = 1;
    };

    /// The number of coming requests that meet each fault, and whether the service is leaving.
    struct Faults {
        unsigned closeBeforeReading = 0;
        unsigned closeAfterReading = 0;
        unsigned closeAfterRunning = 0;
        unsigned truncatedAnswers = 0;
        unsigned errorAnswers = 0;
        unsigned refusals = 0;
        unsigned wrongLengths = 0;
        /// Number of coming requests that run and are not answered until "hang-requests" is set again.
        unsigned hangingRequests = 0;
        bool isLeaving = false;
    };

    struct FaultName {
        const char* name;
        unsigned Faults::*count;
    };

    constexpr FaultName faultNames[] = {
        { "close-before-reading", &Faults::closeBeforeReading },
        { "close-after-reading", &Faults::closeAfterReading },
        { "close-after-running", &Faults::closeAfterRunning },
        { "half-answers", &Faults::truncatedAnswers },
        { "errors", &Faults::errorAnswers },
        { "refuse", &Faults::refusals },
        { "wrong-lengths", &Faults::wrongLengths },
        { "hang-requests", &Faults::hangingRequests },
    };

    class PlainServiceStandIn {
    public:
        PlainServiceStandIn(boost::asio::io_context& context, std::uint16_t port, const Options& options)
            : m_server(context, port)
            , m_options(options)
            , m_random(options.seed)
            , m_changed(context.get_executor())
        {
            m_server.route("GET", "/load", [this](Exchange& exchange) { return load(exchange); });
            m_server.route("", "/", [this](Exchange& exchange) { return handle(exchange); });
            m_server.onFirstBytes([this](std::string_view bytes) { return closesUnread(bytes); });
            m_server.onControl([this](const Json& command) { applyControl(command); });
            m_server.onCounters([this] { return counters(); });
        }

        void run() { m_server.run(); }

    private:
        bool closesUnread(std::string_view bytes)
        {
            const auto line = bytes.substr(0, bytes.find('\r'));
            const bool isOwnPath = line.find(" /control") != std::string_view::npos || line.find(" /load") != std::string_view::npos;
            return !isOwnPath && decrementIfPositive(m_faults.closeBeforeReading);
        }

        Task<void> handle(Exchange& exchange)
        {
            if (decrementIfPositive(m_faults.closeAfterReading)) {
                exchange.close();
                co_return;
            }
            if (decrementIfPositive(m_faults.refusals)) {
                const std::vector<HeaderField> fields { { "X-Not-Run", "true" } };
                co_await exchange.respondWithError(503, "refused", fields);
                co_return;
            }
            const auto answer = execute(exchange);
            co_await waitForService();
            if (decrementIfPositive(m_faults.hangingRequests))
                co_await waitForRelease();
            co_await respond(exchange, answer);
        }

        /// Carries out and counts the request. Returns the body of its answer.
        Json execute(const Exchange& exchange)
        {
            const auto key = requestKey(exchange);
            const auto runs = ++m_runsByKey[key];
            ++m_runs;
            Json answer { { "key", key }, { "runs", runs }, { "path", exchange.path() }, { "caller", exchange.header("Cicadalb-Caller") }, { "token", exchange.header("Authorization") } };
            const auto position = exchange.path().find("/invoices");
            if (position == std::string::npos)
                return answer;
            if (exchange.request().method_string() == "POST") {
                const auto invoice = exchange.body();
                m_invoices[invoice.value("id", key)] = invoice;
                answer["posted"] = invoice.value("id", key);
                return answer;
            }
            const auto id = exchange.path().substr(exchange.path().rfind('/') + 1);
            const auto found = m_invoices.find(id);
            answer["invoice"] = found == m_invoices.end() ? Json() : found->second;
            return answer;
        }

        static std::string requestKey(const Exchange& exchange)
        {
            auto key = exchange.header("Idempotency-Key");
            return key.empty() ? exchange.header("X-Request-Id") : key;
        }

        /// Waits for a free slot and then for the service time, which varies between half and twice the median.
        Task<void> waitForService()
        {
            ++m_queued;
            while (m_running >= m_options.slots)
                co_await m_changed.wait(std::chrono::hours(1));
            --m_queued;
            ++m_running;
            const double factor = std::exp2(2 * randomUnit(m_random) - 1);
            const std::chrono::duration<double, std::milli> serviceTime(m_options.serviceMilliseconds / m_options.speedFactor * factor);
            co_await sleepFor(std::chrono::duration_cast<std::chrono::steady_clock::duration>(serviceTime));
            --m_running;
            m_changed.notifyAll();
        }

        /// Waits until "hang-requests" is set again.
        Task<void> waitForRelease()
        {
            const auto releaseCount = m_releaseCount;
            while (m_releaseCount == releaseCount)
                co_await m_changed.wait(std::chrono::hours(1));
        }

        Task<void> respond(Exchange& exchange, const Json& answer)
        {
            const auto text = answer.dump();
            if (decrementIfPositive(m_faults.closeAfterRunning)) {
                exchange.close();
                co_return;
            }
            if (decrementIfPositive(m_faults.errorAnswers)) {
                co_await exchange.respond(500, answer);
                co_return;
            }
            if (decrementIfPositive(m_faults.truncatedAnswers)) {
                co_await exchange.writeRaw(head(text.size()) + text.substr(0, text.size() / 2));
                exchange.close();
                co_return;
            }
            if (decrementIfPositive(m_faults.wrongLengths)) {
                co_await exchange.writeRaw(head(text.size() / 2) + text);
                co_return;
            }
            co_await exchange.respondText(200, text, "application/json");
        }

        static std::string head(std::size_t length)
        {
            return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
        }

        Task<void> load(Exchange& exchange)
        {
            const Json answer { { "running", m_running }, { "queued", m_queued }, { "leaving", m_faults.isLeaving } };
            co_await exchange.respond(200, answer);
        }

        void applyControl(const Json& command)
        {
            for (const auto& fault : faultNames)
                assignIfPresent(command, fault.name, m_faults.*fault.count);
            m_releaseCount += command.contains("hang-requests") ? 1 : 0;
            assignIfPresent(command, "leaving", m_faults.isLeaving);
            assignIfPresent(command, "service-ms", m_options.serviceMilliseconds);
            assignIfPresent(command, "speed-factor", m_options.speedFactor);
            m_changed.notifyAll();
        }

        Json counters() const
        {
            return { { "runs", m_runs }, { "runs-by-key", m_runsByKey }, { "invoices", m_invoices.size() },
                { "running", m_running }, { "queued", m_queued } };
        }

        StandInServer m_server;
        Options m_options;
        Faults m_faults;
        Random m_random;
        std::map<std::string, unsigned> m_runsByKey;
        std::map<std::string, Json> m_invoices;
        std::uint64_t m_runs = 0;
        std::uint64_t m_releaseCount = 0;
        unsigned m_running = 0;
        unsigned m_queued = 0;
        AsyncCondition m_changed;
    };

} // namespace

} // namespace cicadalb::standin

int main(int argc, char** argv)
{
    using namespace cicadalb::standin;
    Options options;
    Arguments arguments("Stand-in for a plain service");
    arguments.option("--service-ms", options.serviceMilliseconds, "Median service time");
    arguments.option("--speed-factor", options.speedFactor, "Divisor of the service time");
    arguments.option("--slots", options.slots, "Requests that run at once");
    arguments.option("--seed", options.seed, "Seed of the service times");
    arguments.parse(argc, argv);
    boost::asio::io_context context(1);
    PlainServiceStandIn standIn(context, arguments.port, options);
    standIn.run();
}
