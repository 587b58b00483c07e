#include "common/Arguments.h"
#include "common/StandInServer.h"

#include <map>

/// @file
/// Stand-in for the platform's host list, whose changes show late.

namespace cicadalb::standin {

namespace {

    using Time = std::chrono::steady_clock::time_point;

    struct HostLine {
        std::string name;
        std::string address;
        std::string failureDomain;
        /// "live", "leaving", or "gone" for a host that leaves the list.
        std::string state = "live";
    };

    struct PendingChange {
        Time visibleAt;
        HostLine host;
    };

    class HostListStandIn {
    public:
        HostListStandIn(boost::asio::io_context& context, std::uint16_t port, Milliseconds lag)
            : m_server(context, port)
            , m_lag(lag)
        {
            m_server.route("GET", "/hosts", [this](Exchange& exchange) { return list(exchange); });
            m_server.onControl([this](const Json& words) { applyControl(words); });
            m_server.onCounters([this] { return Json { { "reads", m_reads }, { "pending", m_pending.size() } }; });
        }

        /// @brief Adds a host at once, given as NAME,ADDRESS,FAILURE-DOMAIN.
        void addHost(const std::string& text)
        {
            const auto first = text.find(',');
            const auto second = text.find(',', first + 1);
            const auto name = text.substr(0, first);
            m_hosts[name] = HostLine { name, text.substr(first + 1, second - first - 1), text.substr(second + 1), "live" };
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

        void applyControl(const Json& words)
        {
            m_lag = Milliseconds(words.value("lag-ms", m_lag.count()));
            if (!words.contains("host"))
                return;
            const auto& change = words.at("host");
            const auto name = change.at("name").get<std::string>();
            auto host = latest(name);
            host.address = change.value("address", host.address);
            host.failureDomain = change.value("failure-domain", host.failureDomain);
            host.state = change.value("state", host.state);
            m_pending.push_back({ std::chrono::steady_clock::now() + m_lag, host });
        }

        HostLine latest(const std::string& name) const
        {
            for (auto change = m_pending.rbegin(); change != m_pending.rend(); ++change) {
                if (change->host.name == name)
                    return change->host;
            }
            const auto found = m_hosts.find(name);
            return found == m_hosts.end() ? HostLine { name, "127.0.0.1", "", "live" } : found->second;
        }

        StandInServer m_server;
        Milliseconds m_lag;
        std::map<std::string, HostLine> m_hosts;
        std::vector<PendingChange> m_pending;
        std::uint64_t m_reads = 0;
    };

} // namespace

} // namespace cicadalb::standin

int main(int count, char** words)
{
    using namespace cicadalb::standin;
    unsigned lagMilliseconds = 2000;
    std::vector<std::string> hosts;
    Arguments arguments("Stand-in for the platform's host list");
    arguments.option("--lag-ms", lagMilliseconds, "Time until a change shows");
    arguments.option("--host", hosts, "NAME,ADDRESS,FAILURE-DOMAIN of a live host; may be repeated");
    arguments.parse(count, words);
    boost::asio::io_context context(1);
    HostListStandIn standIn(context, arguments.port, Milliseconds(lagMilliseconds));
    for (const auto& host : hosts)
        standIn.addHost(host);
    standIn.run();
}
