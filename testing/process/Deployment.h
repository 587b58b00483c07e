#pragma once

#include "ChildProcess.h"

#include "cicadalb/services/HttpClient.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cicadalb::testing {

/// @brief Time limit of the waits in these tests. It ends a test that hangs; no result depends on it otherwise.
inline constexpr std::chrono::seconds waitTimeout { 30 };

/// @brief A stand-in that runs as a child process, and a client for it.
struct StandIn {
    std::unique_ptr<ChildProcess> process;
    std::uint16_t port = 0;
    std::unique_ptr<HttpClient> client;
};

/// @brief A host of the system that runs as a child process, and clients for its caller and admin ports.
struct Host {
    std::string name;
    std::unique_ptr<ChildProcess> process;
    std::uint16_t callerPort = 0;
    std::uint16_t adminPort = 0;
    std::uint16_t peerPort = 0;
    std::uint16_t membershipPort = 0;
    std::unique_ptr<HttpClient> callerClient;
    std::unique_ptr<HttpClient> adminClient;
};

struct DeploymentOptions {
    std::size_t hosts = 2;
    std::size_t ledgers = 1;
    std::size_t maximumBodyBytes = 65536;
};

/// @brief An I/O context for clients, with a thread that runs it.
struct ClientThread {
    ~ClientThread()
    {
        context.stop();
        thread.join();
    }
    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { context.get_executor() };
    std::thread thread { [this] { context.run(); } };
};

/// @brief Stand-ins and hosts on loopback with an applied configuration. Their files are in a temporary folder.
class Deployment {
    std::filesystem::path m_folder;
    ClientThread m_clients;

public:
    explicit Deployment(DeploymentOptions = {});
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    /// @brief Starts a host and waits until it is ready. The first host that is started waits for the configuration.
    std::unique_ptr<Host> startHost(const std::string& name);

    /// @brief Sends a request without waiting for its answer.
    std::future<Result<HttpResponse>> callAsync(HttpClient&, HttpRequest);
    Result<HttpResponse> call(HttpClient&, HttpRequest);
    /// @brief A request of caller "clerks" that posts an invoice; its route is not idempotent.
    static HttpRequest invoiceRequest(const std::string& key);
    /// @brief A request of caller "clerks" that looks up a ledger entry; its route is idempotent.
    static HttpRequest lookupRequest(const std::string& key);
    /// @brief A request to the model engine. Its answer takes longer than the unready time (unready-ms) of a stopping host.
    static HttpRequest draftRequest(const std::string& key);

    /// @brief Sets faults of a stand-in. @return its counters
    nlohmann::json control(StandIn&, const nlohmann::json& command);
    /// @brief How often the request with @p key ran at a plain service.
    unsigned runCount(StandIn&, const std::string& key);
    /// @brief How many requests ran at a plain service, repetitions included.
    unsigned runCount(StandIn&);
    void waitForRun(StandIn&, const std::string& key);
    void waitUntilReady(Host&);
    bool isReady(Host&);

    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<std::unique_ptr<StandIn>> ledgers;
    std::unique_ptr<StandIn> keyValue;
    std::unique_ptr<StandIn> hostList;
    std::unique_ptr<StandIn> engine;

private:
    std::unique_ptr<StandIn> startStandIn(const std::string& program, const std::vector<std::string>& arguments = {});
    std::unique_ptr<HttpClient> makeClient(std::uint16_t port);
    std::string writeFile(const std::string& name, const std::string& text);
    std::string settings(const std::string& name) const;
    void applyConfiguration();

    DeploymentOptions m_options;
    std::unique_ptr<StandIn> m_weightStore;
    std::uint16_t m_seedPort = 0;
};

} // namespace cicadalb::testing
