#include "Deployment.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <mutex>

using namespace cicadalb;
using namespace cicadalb::testing;

namespace {

constexpr std::size_t hostCount = 8;
constexpr std::size_t callerCount = 6;
constexpr std::chrono::milliseconds readinessInterval { 50 };

/// Sends requests to ready hosts, like a load balancer that polls /readyz.
class BalancedLoad {
public:
    explicit BalancedLoad(Deployment& deployment)
        : m_deployment(deployment)
    {
        pollReadiness();
        m_threads.emplace_back([this] { pollReadinessUntilEnd(); });
        for (std::size_t number = 0; number < callerCount; ++number)
            m_threads.emplace_back([this, number] { sendRequests(number); });
    }

    ~BalancedLoad() { stop(); }

    void stop()
    {
        m_isStopping = true;
        for (auto& thread : m_threads)
            thread.join();
        m_threads.clear();
    }

    void replace(std::size_t index, std::unique_ptr<Host> host)
    {
        const std::lock_guard lock(m_mutex);
        // Requests in progress may still use the former host's client.
        m_formerHosts.push_back(std::exchange(m_deployment.hosts[index], std::move(host)));
    }

    std::size_t answered() const { return m_answered; }
    std::vector<std::string> failures() const { return m_failures; }

private:
    void pollReadinessUntilEnd()
    {
        while (!m_isStopping) {
            pollReadiness();
            std::this_thread::sleep_for(readinessInterval);
        }
    }

    void pollReadiness()
    {
        std::vector<Host*> hosts;
        {
            const std::lock_guard lock(m_mutex);
            for (const auto& host : m_deployment.hosts)
                hosts.push_back(host.get());
        }
        std::vector<HttpClient*> readyClients;
        for (auto* host : hosts) {
            if (m_deployment.isReady(*host))
                readyClients.push_back(host->callerClient.get());
        }
        const std::lock_guard lock(m_mutex);
        m_readyClients = std::move(readyClients);
    }

    HttpClient* pickClient(std::size_t number)
    {
        const std::lock_guard lock(m_mutex);
        return m_readyClients.empty() ? nullptr : m_readyClients[number % m_readyClients.size()];
    }

    static HttpRequest request(std::size_t number, const std::string& key)
    {
        using RequestFactory = HttpRequest (*)(const std::string&);
        constexpr RequestFactory factories[] = { &Deployment::invoiceRequest, &Deployment::lookupRequest, &Deployment::draftRequest };
        return factories[number % std::size(factories)](key);
    }

    void sendRequests(std::size_t caller)
    {
        for (std::size_t number = caller; !m_isStopping; ++number) {
            auto* client = pickClient(number);
            if (!client)
                continue;
            const auto key = std::to_string(caller) + "-" + std::to_string(number);
            const auto response = m_deployment.call(*client, request(number, key));
            if (response && response.value().status == 200) {
                ++m_answered;
                continue;
            }
            const std::lock_guard lock(m_mutex);
            m_failures.push_back(response ? response.value().body : describe(response.error()));
        }
    }

    Deployment& m_deployment;
    std::mutex m_mutex;
    std::vector<HttpClient*> m_readyClients;
    std::vector<std::unique_ptr<Host>> m_formerHosts;
    std::vector<std::string> m_failures;
    std::atomic<std::size_t> m_answered = 0;
    std::atomic<bool> m_isStopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace

TEST_CASE("Rolling restart of eight hosts under load fails no request")
{
    Deployment deployment { { hostCount, 2 } };
    for (auto& ledger : deployment.ledgers)
        deployment.control(*ledger, { { "service-ms", 20 } });
    BalancedLoad load(deployment);
    for (std::size_t index = 0; index < hostCount; ++index) {
        auto& process = *deployment.hosts[index]->process;
        auto running = deployment.callAsync(*deployment.hosts[index]->callerClient, Deployment::draftRequest("running-" + std::to_string(index)));
        std::this_thread::sleep_for(readinessInterval);
        process.signal(SIGTERM);
        CHECK(process.wait() == 0);
        const auto answer = running.get();
        REQUIRE(answer);
        CHECK(answer.value().status == 200);
        load.replace(index, deployment.startHost("host-" + std::to_string(index)));
    }
    load.stop();
    CAPTURE(load.failures());
    CHECK(load.failures().empty());
    CHECK(load.answered() > 0);
}
