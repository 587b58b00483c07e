#include "common/Arguments.h"
#include "common/StandInServer.h"

#include <map>

/// @file
/// Stand-in for the rate-limited weight store.

namespace cicadalb::standin {

namespace {

    constexpr std::size_t chunkBytes = std::size_t { 64 } << 10U;

    struct Options {
        std::uint64_t bytesPerSecond = std::uint64_t { 50 } << 20U;
        std::uint64_t blobBytes = std::uint64_t { 1 } << 20U;
    };

    class WeightStoreStandIn {
    public:
        WeightStoreStandIn(boost::asio::io_context& context, std::uint16_t port, Options options)
            : m_server(context, port)
            , m_options(options)
        {
            m_server.route("GET", "/weights/", [this](Exchange& exchange) { return read(exchange); });
            m_server.route("POST", "/weights/", [this](Exchange& exchange) { return publish(exchange); });
            m_server.onControl([this](const Json& command) { applyControl(command); });
            m_server.onCounters([this] { return Json { { "versions", m_versions }, { "reads", m_reads }, { "blobs", m_blobReads }, { "bytes", m_bytesSent } }; });
        }

        void run() { m_server.run(); }

    private:
        Task<void> read(Exchange& exchange)
        {
            if (exchange.pathAfterPrefix().ends_with("/blob")) {
                co_await sendBlob(exchange);
                co_return;
            }
            ++m_reads;
            const std::string model(exchange.pathAfterPrefix());
            const auto found = m_versions.find(model);
            if (found == m_versions.end()) {
                co_await exchange.respondWithError(404, "no such model");
                co_return;
            }
            const Json answer { { "model", model }, { "version", found->second } };
            co_await exchange.respond(200, answer);
        }

        Task<void> publish(Exchange& exchange)
        {
            const std::string model(exchange.pathAfterPrefix());
            const auto version = exchange.body().value("version", std::uint64_t { 0 });
            auto& latest = m_versions[model];
            const bool isNewer = version > latest;
            if (isNewer)
                latest = version;
            const Json answer { { "model", model }, { "version", latest } };
            co_await exchange.respond(isNewer ? 200 : 409, answer);
        }

        /// Sends a model's weights; all transfers share the rate limit.
        Task<void> sendBlob(Exchange& exchange)
        {
            ++m_blobReads;
            co_await exchange.beginStream(200, "application/octet-stream");
            std::uint64_t remaining = m_options.blobBytes;
            while (remaining > 0 && !exchange.isClosing()) {
                const auto length = std::min<std::uint64_t>(remaining, chunkBytes);
                co_await sleepFor(reserveBytes(length));
                co_await exchange.writeChunk(std::string(length, 'w'));
                remaining -= length;
                m_bytesSent += length;
            }
            co_await exchange.endStream();
        }

        /// Reserves the next @p length bytes within the rate. Returns the time until they may be sent.
        std::chrono::steady_clock::duration reserveBytes(std::uint64_t length)
        {
            const auto now = std::chrono::steady_clock::now();
            const std::chrono::duration<double> cost(static_cast<double>(length) / static_cast<double>(m_options.bytesPerSecond));
            m_reservedUntil = std::max(m_reservedUntil, now) + std::chrono::duration_cast<std::chrono::steady_clock::duration>(cost);
            return m_reservedUntil - now;
        }

        void applyControl(const Json& command)
        {
            assignIfPresent(command, "bytes-per-second", m_options.bytesPerSecond);
            assignIfPresent(command, "blob-bytes", m_options.blobBytes);
        }

        StandInServer m_server;
        Options m_options;
        std::map<std::string, std::uint64_t> m_versions;
        std::chrono::steady_clock::time_point m_reservedUntil;
        std::uint64_t m_reads = 0;
        std::uint64_t m_blobReads = 0;
        std::uint64_t m_bytesSent = 0;
    };

} // namespace

} // namespace cicadalb::standin

int main(int argc, char** argv)
{
    using namespace cicadalb::standin;
    Options options;
    Arguments arguments("Stand-in for the weight store");
    arguments.option("--bytes-per-second", options.bytesPerSecond, "Rate that all transfers share");
    arguments.option("--blob-bytes", options.blobBytes, "Size of a version's weights");
    arguments.parse(argc, argv);
    boost::asio::io_context context(1);
    WeightStoreStandIn standIn(context, arguments.port, options);
    standIn.run();
}
