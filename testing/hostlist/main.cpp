#include "common/Arguments.h"
#include "common/StandInServer.h"

#include <map>

/// @file
/// Stand-in for the platform's host list. A change becomes visible after a delay.

namespace cicadalb::standin {

namespace {

    using TimePoint = std::chrono::steady_clock::time_point;

    struct HostEntry {
        std::string name;
        std::string address;
        std::string failureDomain;
        /// "live", "leaving", or "gone" for a host that is to be removed from the list.
        std::string state = "live";
    };

    struct PendingChange {
        TimePoint visibleAt;
        HostEntry host;
    };

    class HostListStandIn {
    public:
        HostListStandIn(boost::asio::io_context& context, std::uint16_t port, Milliseconds visibilityDelay)
            : m_server(context, port)
            , m_visibilityDelay(visibilityDelay)
        {
            m_server.route("GET", "/hosts", [this](Exchange& exchange) { return list(exchange); });
            m_server.onControl([this](const Json& command) { applyControl(command); });
            m_server.onCounters([this] { return Json { { "reads", m_reads }, { "pending", m_pending.size() } }; });
        }

        /// @brief Adds a host without delay. @param text NAME,ADDRESS,FAILURE-DOMAIN
        void addHost(const std::string& text)
        {
            const auto firstComma = text.find(',');
            const auto secondComma = text.find(',', firstComma + 1);
            const auto name = text.substr(0, firstComma);
            m_hosts[name] = HostEntry { name, text.substr(firstComma + 1, secondComma - firstComma - 1), text.substr(secondComma + 1), "live" };
        }

        void run() { m_server.run(); }

    private:
        Task<void> list(Exchange& exchange)
        {
            ++m_reads;
            applyVisibleChanges();
            Json hosts = Json::array();
            for (const auto& [name, host] : m_hosts)
                hosts.push_back({ { "name", name }, { "address", host.address }, { "failure-domain", host.failureDomain }, { "state", host.state } });
            const Json answer { { "hosts", hosts } };
            co_await exchange.respond(200, answer);
        }

        void applyVisibleChanges()
        {
            const auto now = std::chrono::steady_clock::now();
            while (!m_pending.empty() && m_pending.front().visibleAt <= now) {
                const auto host = m_pending.front().host;
                m_pending.erase(m_pending.begin());
                if (host.state == "gone")
                    m_hosts.erase(host.name);
                else
                    m_hosts[host.name] = host;
            }
        }

        void applyControl(const Json& command)
        {
            m_visibilityDelay = Milliseconds(command.value("lag-ms", m_visibilityDelay.count()));
            if (!command.contains("host"))
                return;
            const auto& change = command.at("host");
            const auto name = change.at("name").get<std::string>();
            auto host = latestEntry(name);
            host.address = change.value("address", host.address);
            host.failureDomain = change.value("failure-domain", host.failureDomain);
            host.state = change.value("state", host.state);
            m_pending.push_back({ std::chrono::steady_clock::now() + m_visibilityDelay, host });
        }

        HostEntry latestEntry(const std::string& name) const
        {
            for (auto change = m_pending.rbegin(); change != m_pending.rend(); ++change) {
                if (change->host.name == name)
                    return change->host;
            }
            const auto found = m_hosts.find(name);
            return found == m_hosts.end() ? HostEntry { name, "127.0.0.1", "", "live" } : found->second;
        }

        StandInServer m_server;
        Milliseconds m_visibilityDelay;
        std::map<std::string, HostEntry> m_hosts;
        std::vector<PendingChange> m_pending;
        std::uint64_t m_reads = 0;
    };

} // namespace

} // namespace cicadalb::standin

int main(int argc, char** argv)
{
    using namespace cicadalb::standin;
    unsigned visibilityDelayMilliseconds = 2000;
    std::vector<std::string> hosts;
    Arguments arguments("Stand-in for the platform's host list");
    arguments.option("--lag-ms", visibilityDelayMilliseconds, "Time until a change is visible");
    arguments.option("--host", hosts, "NAME,ADDRESS,FAILURE-DOMAIN of a live host; may be repeated");
    arguments.parse(argc, argv);
    boost::asio::io_context context(1);
    HostListStandIn standIn(context, arguments.port, Milliseconds(visibilityDelayMilliseconds));
    for (const auto& host : hosts)
        standIn.addHost(host);
    standIn.run();
}
