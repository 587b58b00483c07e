#include "common/Arguments.h"
#include "common/StandInServer.h"

#include <map>

/// @file
/// Stand-in for the rate-limited weight store.

namespace cicadalb::standin {

namespace {

    constexpr std::size_t partBytes = std::size_t { 64 } << 10U;

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
            m_server.onControl([this](const Json& words) { applyControl(words); });
            m_server.onCounters([this] { return Json { { "versions", m_versions }, { "reads", m_reads }, { "blobs", m_blobs }, { "bytes", m_bytes } }; });
        }

        void run() { m_server.run(); }

    private:
        Task<void> read(Exchange& exchange)
        {
            if (exchange.rest().ends_with("/blob")) {
                co_await sendBlob(exchange);
                co_return;
            }
            ++m_reads;
            const std::string model(exchange.rest());
            const auto found = m_versions.find(model);
            if (found == m_versions.end()) {
                co_await exchange.refuse(404, "no such model");
                co_return;
            }
            const Json answer { { "model", model }, { "version", found->second } };
            co_await exchange.respond(200, answer);
        }

        Task<void> publish(Exchange& exchange)
        {
            const std::string model(exchange.rest());
            const auto version = exchange.body().value("version", std::uint64_t { 0 });
            auto& latest = m_versions[model];
            const bool isNewer = version > latest;
            if (isNewer)
                latest = version;
            const Json answer { { "model", model }, { "version", latest } };
            co_await exchange.respond(isNewer ? 200 : 409, answer);
        }

        /// Sends a blob; all transfers share one rate.
        Task<void> sendBlob(Exchange& exchange)
        {
            ++m_blobs;
            co_await exchange.beginStream(200, "application/octet-stream");
            std::uint64_t left = m_options.blobBytes;
            while (left > 0 && !exchange.isClosing()) {
                const auto length = std::min<std::uint64_t>(left, partBytes);
                co_await sleepFor(reserve(length));
                co_await exchange.writeChunk(std::string(length, 'w'));
                left -= length;
                m_bytes += length;
            }
            co_await exchange.endStream();
        }

        /// Time until @p length more bytes are within the rate.
        std::chrono::steady_clock::duration reserve(std::uint64_t length)
        {
            const auto now = std::chrono::steady_clock::now();
            const std::chrono::duration<double> cost(static_cast<double>(length) / static_cast<double>(m_options.bytesPerSecond));
            m_freeAt = std::max(m_freeAt, now) + std::chrono::duration_cast<std::chrono::steady_clock::duration>(cost);
            return m_freeAt - now;
        }

        void applyControl(const Json& words)
        {
            assignIfPresent(words, "bytes-per-second", m_options.bytesPerSecond);
            assignIfPresent(words, "blob-bytes", m_options.blobBytes);
        }

        StandInServer m_server;
        Options m_options;
        std::map<std::string, std::uint64_t> m_versions;
        std::chrono::steady_clock::time_point m_freeAt;
        std::uint64_t m_reads = 0;
        std::uint64_t m_blobs = 0;
        std::uint64_t m_bytes = 0;
    };

} // namespace

} // namespace cicadalb::standin

int main(int count, char** words)
{
    using namespace cicadalb::standin;
    Options options;
    Arguments arguments("Stand-in for the weight store");
    arguments.option("--bytes-per-second", options.bytesPerSecond, "Rate that all transfers share");
    arguments.option("--blob-bytes", options.blobBytes, "Size of a version's weights");
    arguments.parse(count, words);
    boost::asio::io_context context(1);
    WeightStoreStandIn standIn(context, arguments.port, options);
    standIn.run();
}
