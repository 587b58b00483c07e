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

/// @brief Ends a test that hangs; no verdict depends on it otherwise.
inline constexpr std::chrono::seconds patience { 30 };

/// @brief A child that listens, and a client for it.
struct Server {
    std::unique_ptr<ChildProcess> process;
    std::uint16_t port = 0;
    std::unique_ptr<HttpClient> client;
};

/// @brief A host of the system.
struct Host {
    std::string name;
    std::unique_ptr<ChildProcess> process;
    std::uint16_t callerPort = 0;
    std::uint16_t membershipPort = 0;
    std::unique_ptr<HttpClient> callers;
    std::unique_ptr<HttpClient> admin;
};

struct DeploymentOptions {
    std::size_t hosts = 2;
    std::size_t ledgers = 1;
};

/// @brief The thread of all HTTP clients.
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

/// @brief Stand-ins, hosts and the operators' tables on loopback, in a folder of its own.
class Deployment {
    std::filesystem::path m_folder;
    ClientThread m_clients;

public:
    explicit Deployment(DeploymentOptions = {});
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    /// @brief Starts a host and waits until it is ready; the first start waits for the tables.
    std::unique_ptr<Host> startHost(const std::string& name);

    std::future<Result<HttpResponse>> begin(HttpClient&, HttpRequest);
    Result<HttpResponse> call(HttpClient&, HttpRequest);
    /// @brief Posts an invoice as a clerk.
    static HttpRequest invoice(const std::string& key);
    /// @brief Looks something up; the route is repeatable.
    static HttpRequest lookup(const std::string& key);
    /// @brief Asks the model for a draft; its answer takes longer than a host that stops is unready.
    static HttpRequest draft(const std::string& key);

    nlohmann::json control(Server&, const nlohmann::json& words);
    unsigned runsOf(Server&, const std::string& key);
    /// @brief Runs of all requests.
    unsigned runsOf(Server&);
    void waitForRun(Server&, const std::string& key);
    void waitUntilReady(Host&);
    bool isReady(Host&);

    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<std::unique_ptr<Server>> ledgers;
    std::unique_ptr<Server> keyValue;
    std::unique_ptr<Server> hostList;
    std::unique_ptr<Server> engine;

private:
    std::unique_ptr<Server> startStandIn(const std::string& program, const std::vector<std::string>& arguments = {});
    std::unique_ptr<HttpClient> clientFor(std::uint16_t port);
    std::string writeFile(const std::string& name, const std::string& text);
    std::string settings(const std::string& name) const;
    void applyTables();

    std::unique_ptr<Server> m_weightStore;
    std::uint16_t m_seedPort = 0;
};

} // namespace cicadalb::testing
