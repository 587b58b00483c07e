#include "Deployment.h"

#include "cicadalb/base/Hash.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <fstream>
#include <unistd.h>

namespace cicadalb::testing {

namespace {

    constexpr std::chrono::milliseconds pollInterval { 10 };

    HttpRequest callerRequest(const char* method, const char* path, const char* callerToken, const std::string& key)
    {
        HttpRequest request;
        request.method = method;
        request.target = path;
        request.fields.emplace_back("Authorization", std::string("Bearer ") + callerToken);
        request.fields.emplace_back("X-Request-Id", key);
        return request;
    }

    Task<void> sendRequest(HttpClient& client, HttpRequest request, std::shared_ptr<std::promise<Result<HttpResponse>>> promise)
    {
        auto response = co_await client.send(std::move(request), std::chrono::steady_clock::now() + waitTimeout);
        promise->set_value(std::move(response));
    }

} // namespace

Deployment::Deployment(DeploymentOptions options)
    : m_options(options)
{
    auto pattern = (std::filesystem::temp_directory_path() / "cicadalb-test-XXXXXX").string();
    REQUIRE(::mkdtemp(pattern.data()) != nullptr);
    m_folder = pattern;
    writeFile("secret", "a-shared-secret-of-at-least-thirty-two-bytes\n");
    keyValue = startStandIn("keyvalue");
    hostList = startStandIn("hostlist");
    m_weightStore = startStandIn("weightstore");
    engine = startStandIn("engine", { "--slots", "32", "--tokens-per-second", "40", "--median-tokens", "64", "--tail", "0" });
    for (std::size_t number = 0; number < options.ledgers; ++number)
        ledgers.push_back(startStandIn("plainservice"));
    applyConfiguration();
    for (std::size_t number = 0; number < options.hosts; ++number)
        hosts.push_back(startHost("host-" + std::to_string(number)));
}

Deployment::~Deployment()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

std::unique_ptr<HttpClient> Deployment::makeClient(std::uint16_t port)
{
    return std::make_unique<HttpClient>(m_clients.context.get_executor(), Endpoint { "127.0.0.1", port });
}

std::string Deployment::writeFile(const std::string& name, const std::string& text)
{
    auto path = (m_folder / name).string();
    std::ofstream(path) << text;
    return path;
}

std::unique_ptr<StandIn> Deployment::startStandIn(const std::string& program, const std::vector<std::string>& arguments)
{
    auto standIn = std::make_unique<StandIn>();
    standIn->process = std::make_unique<ChildProcess>("testing/standin_" + program, arguments, (m_folder / (program + ".log")).string());
    standIn->port = numberAfter(standIn->process->readLine(), "listening");
    standIn->client = makeClient(standIn->port);
    return standIn;
}

std::string Deployment::settings(const std::string& name) const
{
    const auto address = [](const StandIn& standIn) { return "\"127.0.0.1:" + std::to_string(standIn.port) + "\""; };
    const auto listener = [](const std::string& section) { return "[" + section + "]\naddress = \"127.0.0.1\"\nport = 0\n"; };
    std::string text = "[host]\nid = \"" + name + "\"\nfailure-domain = \"salt-lake\"\nthreads = 2\n";
    text += listener("listen") + listener("admin") + listener("membership") + listener("peers");
    text += "secret-file = \"" + (m_folder / "secret").string() + "\"\n";
    if (m_seedPort != 0)
        text += "seeds = [\"host-0@127.0.0.1:" + std::to_string(m_seedPort) + "\"]\n";
    text += "[platform]\nkey-value = " + address(*keyValue) + "\nhost-list = " + address(*hostList) + "\nweight-store = " + address(*m_weightStore) + "\n";
    text += "[limits]\nbody-bytes = " + std::to_string(m_options.maximumBodyBytes) + "\nheader-timeout-ms = 1000\nbody-timeout-ms = 1000\n";
    text += "[shutdown]\nunready-ms = 400\ngrace-ms = 20000\n";
    return text;
}

std::unique_ptr<Host> Deployment::startHost(const std::string& name)
{
    auto host = std::make_unique<Host>();
    host->name = name;
    const auto file = writeFile(name + ".toml", settings(name));
    host->process = std::make_unique<ChildProcess>("apps/cicadalb", std::vector<std::string> { "--settings", file }, (m_folder / (name + ".log")).string());
    const auto line = host->process->readLine();
    host->callerPort = numberAfter(line, "callers");
    host->membershipPort = numberAfter(line, "membership");
    host->callerClient = makeClient(host->callerPort);
    host->adminPort = numberAfter(line, "admin");
    host->peerPort = numberAfter(line, "peers");
    host->adminClient = makeClient(host->adminPort);
    if (m_seedPort == 0)
        m_seedPort = host->membershipPort;
    waitUntilReady(*host);
    return host;
}

void Deployment::applyConfiguration()
{
    const std::string routes = "[callers.clerks]\ntoken-sha256 = \"" + sha256Hex("clerk-token") + "\"\n"
        + "[trainers.invoice-draft]\ntoken-sha256 = \"" + sha256Hex("trainer-token") + "\"\nstaleness-bound = 2\n"
        + "[routes.post-invoice]\npath = \"/ledger/invoices\"\npool = \"ledger-app\"\nrepeatable = false\ntimeout-ms = 3000\n"
        + "[routes.lookup]\npath = \"/ledger/lookups\"\npool = \"ledger-app\"\nrepeatable = true\ntimeout-ms = 3000\nretry-percent = 100\n"
        + "[routes.drafts]\npath = \"/v1/drafts\"\npool = \"draft-model\"\ntrainers = [\"invoice-draft\"]\nrepeatable = true\n";
    std::string pools = "[pools.ledger-app]\nkind = \"plain-service\"\n";
    for (std::size_t number = 0; number < ledgers.size(); ++number) {
        pools += "[[pools.ledger-app.targets]]\nid = \"ledger-" + std::to_string(number) + "\"\naddress = \"127.0.0.1\"\n";
        pools += "port = " + std::to_string(ledgers[number]->port) + "\nfailure-domain = \"salt-lake\"\n";
    }
    pools += "[pools.draft-model]\nkind = \"model-engine\"\nmodel = \"draft\"\n[[pools.draft-model.targets]]\nid = \"draft-0\"\n";
    pools += "address = \"127.0.0.1\"\nport = " + std::to_string(engine->port) + "\nfailure-domain = \"salt-lake\"\n";
    const std::vector<std::string> arguments { "apply", writeFile("routes.toml", routes), writeFile("pools.toml", pools),
        "--key-value", "127.0.0.1:" + std::to_string(keyValue->port), "--author", "test" };
    ChildProcess control("apps/cicadactl", arguments, (m_folder / "cicadactl.log").string());
    REQUIRE(control.wait() == 0);
}

std::future<Result<HttpResponse>> Deployment::callAsync(HttpClient& client, HttpRequest request)
{
    const auto promise = std::make_shared<std::promise<Result<HttpResponse>>>();
    auto future = promise->get_future();
    boost::asio::co_spawn(m_clients.context, sendRequest(client, std::move(request), promise), boost::asio::detached);
    return future;
}

Result<HttpResponse> Deployment::call(HttpClient& client, HttpRequest request) { return callAsync(client, std::move(request)).get(); }

HttpRequest Deployment::invoiceRequest(const std::string& key)
{
    auto request = callerRequest("POST", "/ledger/invoices", "clerk-token", key);
    request.body = R"({"amount":4200})";
    return request;
}

HttpRequest Deployment::lookupRequest(const std::string& key) { return callerRequest("GET", "/ledger/lookups/M-17", "clerk-token", key); }

HttpRequest Deployment::draftRequest(const std::string& key)
{
    auto request = callerRequest("POST", "/v1/drafts", "clerk-token", key);
    request.body = R"({"prompt":"summarise","maximum-tokens":64})";
    return request;
}

nlohmann::json Deployment::control(StandIn& standIn, const nlohmann::json& command)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/control";
    request.body = command.dump();
    const auto response = call(*standIn.client, request);
    REQUIRE(response);
    return nlohmann::json::parse(response.value().body);
}

unsigned Deployment::runCount(StandIn& standIn, const std::string& key)
{
    return control(standIn, nlohmann::json::object()).at("runs-by-key").value(key, 0U);
}

unsigned Deployment::runCount(StandIn& standIn)
{
    return control(standIn, nlohmann::json::object()).at("runs").get<unsigned>();
}

void Deployment::waitForRun(StandIn& standIn, const std::string& key)
{
    const auto deadline = std::chrono::steady_clock::now() + waitTimeout;
    while (runCount(standIn, key) == 0) {
        REQUIRE(std::chrono::steady_clock::now() < deadline);
        std::this_thread::sleep_for(pollInterval);
    }
}

bool Deployment::isReady(Host& host)
{
    HttpRequest request;
    request.target = "/readyz";
    const auto response = call(*host.adminClient, request);
    return response && response.value().status == 200;
}

void Deployment::waitUntilReady(Host& host)
{
    const auto deadline = std::chrono::steady_clock::now() + waitTimeout;
    while (!isReady(host)) {
        REQUIRE(std::chrono::steady_clock::now() < deadline);
        std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace cicadalb::testing
