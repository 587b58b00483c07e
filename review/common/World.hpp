#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/core/detail/base64.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

/// @file
/// Stand-ins for the platform's store, samplers and clients, and a launcher of the project's own program, for the cases of the review.
/// All listen on free loopback ports. One thread serves each connection.

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;
using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using Request = http::request<http::string_body>;

inline void sleepFor(Milliseconds time) { std::this_thread::sleep_for(time); }

inline std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

/// Writes record.txt: what was sent, answered and run, with milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& file)
        : m_stream(file)
    {
    }
    std::int64_t now() const { return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_start).count(); }
    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        m_stream << now() << " ms  " << text << std::endl;
    }

private:
    TimePoint m_start = Clock::now();
    std::mutex m_mutex;
    std::ofstream m_stream;
};

inline std::string base64(const std::string& bytes)
{
    std::string text(beast::detail::base64::encoded_size(bytes.size()), '\0');
    text.resize(beast::detail::base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

inline std::string fromBase64(const std::string& text)
{
    std::string bytes(beast::detail::base64::decoded_size(text.size()), '\0');
    bytes.resize(beast::detail::base64::decode(bytes.data(), text.data(), text.size()).first);
    return bytes;
}

inline std::string percentDecoded(const std::string& text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

inline std::string queryOf(const std::string& target, const std::string& name)
{
    auto at = target.find('?');
    while (at != std::string::npos) {
        const auto end = target.find('&', at + 1);
        const auto pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (pair.starts_with(name + "="))
            return percentDecoded(pair.substr(name.size() + 1));
        at = end;
    }
    return {};
}

/// One request at a stand-in.
struct Exchange {
    Tcp::socket& socket;
    Request request;
    /// An answer that was already given on this connection and is sent once more before the answer to this request; empty: none.
    std::string extra;
    bool isClosing = false;
    /// The bytes of the answer that respond() sent.
    std::string sent;

    std::string target() const { return std::string(request.target()); }
    std::string field(const std::string& name) const { return std::string(request[name]); }
    bool writeRaw(const std::string& bytes)
    {
        boost::system::error_code error;
        asio::write(socket, asio::buffer(bytes), error);
        return !error;
    }
    bool respond(unsigned status, const std::string& body, const std::vector<std::pair<std::string, std::string>>& fields = {}, const std::string& type = "application/json")
    {
        http::response<http::string_body> response { http::int_to_status(status), 11 };
        response.result(status);
        response.set(http::field::content_type, type);
        for (const auto& [name, value] : fields)
            response.set(name, value);
        response.body() = body;
        response.prepare_payload();
        std::ostringstream text;
        text << response;
        sent = text.str();
        return writeRaw(sent);
    }
    bool writeChunk(const std::string& part)
    {
        std::ostringstream head;
        head << std::hex << part.size() << "\r\n";
        return writeRaw(head.str() + part + "\r\n");
    }
    /// Whether the peer has closed the connection.
    bool isClosedByPeer()
    {
        char byte = 0;
        boost::system::error_code error;
        socket.non_blocking(true, error);
        const auto length = socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
        const bool isClosed = error != asio::error::would_block && length == 0;
        socket.non_blocking(false, error);
        return isClosed;
    }
};

/// HTTP/1.1 server with one thread for each connection.
class Server {
public:
    using Handler = std::function<void(Exchange&)>;

    explicit Server(std::uint16_t port = 0)
        : m_acceptor(m_context, Tcp::endpoint(asio::ip::address_v4::loopback(), port))
    {
    }
    void start(Handler handler)
    {
        m_handler = std::move(handler);
        std::thread([this] { accept(); }).detach();
    }
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
    /// Closes the port and all connections, as if the process had crashed.
    void stop()
    {
        const std::lock_guard lock(m_mutex);
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        for (const auto& weak : m_sockets) {
            if (const auto socket = weak.lock())
                ::shutdown(socket->native_handle(), SHUT_RDWR);
        }
    }

private:
    void accept()
    {
        for (;;) {
            boost::system::error_code error;
            auto socket = std::make_shared<Tcp::socket>(m_context);
            m_acceptor.accept(*socket, error);
            if (error) {
                m_acceptor.close(error);
                return;
            }
            {
                const std::lock_guard lock(m_mutex);
                std::erase_if(m_sockets, [](const auto& weak) { return weak.expired(); });
                m_sockets.push_back(socket);
            }
            std::thread([this, socket] { serve(*socket); }).detach();
        }
    }
    void serve(Tcp::socket& socket)
    {
        beast::flat_buffer buffer;
        boost::system::error_code error;
        std::string extra;
        socket.set_option(Tcp::no_delay(true), error);
        while (true) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(64U << 20U);
            http::read(socket, buffer, parser, error);
            if (error)
                break;
            Exchange exchange { socket, parser.release(), std::exchange(extra, {}), false, {} };
            m_handler(exchange);
            extra = std::move(exchange.extra);
            if (exchange.isClosing)
                break;
        }
        socket.close(error);
    }

    asio::io_context m_context;
    Tcp::acceptor m_acceptor;
    Handler m_handler;
    std::mutex m_mutex;
    std::vector<std::weak_ptr<Tcp::socket>> m_sockets;
};

/// The platform's metadata store, as its page describes it. A filter sees each call first.
class Store {
public:
    enum class Verdict { Serve,
        Refuse,
        LoseAnswer,
        Close };
    using Filter = std::function<Verdict(const Exchange&)>;

    Store()
    {
        m_server.start([this](Exchange& exchange) { handle(exchange); });
        std::thread([this] { expireLeases(); }).detach();
    }
    std::string address() const { return m_server.address(); }
    void setFilter(Filter filter)
    {
        const std::lock_guard lock(m_mutex);
        m_filter = std::move(filter);
    }
    /// Writes of the operator and of samplers.
    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(m_mutex);
        ++m_revision;
        write(key, base64(value), 0);
        m_changed.notify_all();
    }
    void remove(const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        ++m_revision;
        erase(key);
        m_changed.notify_all();
    }
    std::optional<std::string> value(const std::string& key)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_entries.find(key);
        return found == m_entries.end() ? std::nullopt : std::optional(fromBase64(found->second.value));
    }

private:
    struct Entry {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t createdAt = 0;
        std::uint64_t lease = 0;
    };
    struct Lease {
        Milliseconds timeToLive;
        TimePoint expiresAt;
    };

    static Json toJson(const std::string& key, const Entry& entry)
    {
        return { { "key", key }, { "value", entry.value }, { "revision", entry.revision }, { "created_at", entry.createdAt }, { "lease", entry.lease } };
    }
    void write(const std::string& key, const std::string& value, std::uint64_t lease)
    {
        const auto found = m_entries.find(key);
        const auto createdAt = found == m_entries.end() ? m_revision : found->second.createdAt;
        const Entry entry { value, m_revision, createdAt, lease };
        m_entries[key] = entry;
        m_history.emplace_back(m_revision, toJson(key, entry));
    }
    void erase(const std::string& key)
    {
        if (m_entries.erase(key) > 0)
            m_history.emplace_back(m_revision, Json { { "key", key }, { "revision", m_revision }, { "deleted", true } });
    }
    void endLease(std::uint64_t lease)
    {
        if (m_leases.erase(lease) == 0)
            return;
        std::vector<std::string> keys;
        for (const auto& [key, entry] : m_entries) {
            if (entry.lease == lease)
                keys.push_back(key);
        }
        if (!keys.empty())
            ++m_revision;
        for (const auto& key : keys)
            erase(key);
        m_changed.notify_all();
    }
    void expireLeases()
    {
        for (;;) {
            sleepFor(Milliseconds(10));
            const std::lock_guard lock(m_mutex);
            std::vector<std::uint64_t> expired;
            for (const auto& [id, lease] : m_leases) {
                if (lease.expiresAt <= Clock::now())
                    expired.push_back(id);
            }
            for (const auto id : expired)
                endLease(id);
        }
    }

    void handle(Exchange& exchange)
    {
        Filter filter;
        {
            const std::lock_guard lock(m_mutex);
            filter = m_filter;
        }
        const auto verdict = filter ? filter(exchange) : Verdict::Serve;
        if (verdict == Verdict::Close) {
            exchange.isClosing = true;
            return;
        }
        if (verdict == Verdict::Refuse) {
            exchange.respond(503, "{}");
            return;
        }
        const auto [status, answer] = serve(exchange);
        if (verdict == Verdict::LoseAnswer)
            exchange.isClosing = true;
        else
            exchange.respond(status, answer.dump());
    }
    std::pair<unsigned, Json> serve(Exchange& exchange)
    {
        const auto target = exchange.target();
        const auto path = target.substr(0, target.find('?'));
        std::unique_lock lock(m_mutex);
        if (path == "/api/kv-key")
            return read(queryOf(target, "key"));
        if (path == "/api/kv-range")
            return readRange(queryOf(target, "prefix"), queryOf(target, "after"));
        if (path == "/api/kv-watch")
            return watch(lock, queryOf(target, "prefix"), std::stoull(queryOf(target, "after")), Milliseconds(std::stoll(queryOf(target, "wait_ms"))));
        if (path == "/api/kv-txn")
            return commit(Json::parse(exchange.request.body()));
        if (path == "/api/kv-lease") {
            const Milliseconds timeToLive(Json::parse(exchange.request.body()).at("ttl_ms").get<std::int64_t>());
            m_leases[++m_lastLease] = { timeToLive, Clock::now() + timeToLive };
            return { 200, { { "lease", m_lastLease }, { "ttl_ms", timeToLive.count() } } };
        }
        if (path.starts_with("/api/kv-keep/")) {
            const auto found = m_leases.find(std::stoull(path.substr(13)));
            if (found == m_leases.end())
                return { 404, Json::object() };
            found->second.expiresAt = Clock::now() + found->second.timeToLive;
            return { 200, { { "ttl_ms", found->second.timeToLive.count() } } };
        }
        if (path.starts_with("/api/kv-lease-end/")) {
            endLease(std::stoull(path.substr(18)));
            return { 200, Json::object() };
        }
        return { 404, Json::object() };
    }
    std::pair<unsigned, Json> read(const std::string& key)
    {
        const auto found = m_entries.find(key);
        if (found == m_entries.end())
            return { 404, Json::object() };
        auto answer = toJson(key, found->second);
        answer["at"] = m_revision;
        return { 200, answer };
    }
    std::pair<unsigned, Json> readRange(const std::string& prefix, const std::string& after)
    {
        constexpr std::size_t pageItems = 500;
        Json items = Json::array();
        bool hasMore = false;
        for (auto row = m_entries.lower_bound(std::max(prefix, after)); row != m_entries.end() && row->first.starts_with(prefix); ++row) {
            if (row->first <= after)
                continue;
            hasMore = items.size() >= pageItems;
            if (hasMore)
                break;
            items.push_back(toJson(row->first, row->second));
        }
        return { 200, { { "items", items }, { "has_more", hasMore }, { "at", m_revision } } };
    }
    std::pair<unsigned, Json> watch(std::unique_lock<std::mutex>& lock, const std::string& prefix, std::uint64_t after, Milliseconds wait)
    {
        const auto deadline = Clock::now() + wait;
        for (;;) {
            Json events = Json::array();
            for (const auto& [revision, event] : m_history) {
                if (revision > after && event.at("key").get_ref<const std::string&>().starts_with(prefix))
                    events.push_back(event);
            }
            if (!events.empty() || Clock::now() >= deadline)
                return { 200, { { "events", events }, { "at", m_revision } } };
            m_changed.wait_until(lock, deadline);
        }
    }
    std::pair<unsigned, Json> commit(const Json& body)
    {
        for (const auto& row : body.at("expected")) {
            const auto found = m_entries.find(row.at("key").get<std::string>());
            const auto revision = found == m_entries.end() ? 0 : found->second.revision;
            if (revision != row.at("revision").get<std::uint64_t>())
                return { 412, { { "items", Json::array() } } };
        }
        for (const auto& row : body.at("puts")) {
            const auto lease = row.value("lease", std::uint64_t { 0 });
            if (lease != 0 && !m_leases.contains(lease))
                return { 404, Json::object() };
        }
        ++m_revision;
        for (const auto& row : body.at("puts"))
            write(row.at("key").get<std::string>(), row.at("value").get<std::string>(), row.value("lease", std::uint64_t { 0 }));
        for (const auto& key : body.at("deletes"))
            erase(key.get<std::string>());
        m_changed.notify_all();
        return { 200, { { "revision", m_revision } } };
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    Filter m_filter;
    std::map<std::string, Entry> m_entries;
    std::map<std::uint64_t, Lease> m_leases;
    std::deque<std::pair<std::uint64_t, Json>> m_history;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lastLease = 0;
    Server m_server;
};

/// The answer of a call, or status 0 if there was none.
struct Answer {
    unsigned status = 0;
    std::string body;
    std::map<std::string, std::string> fields;
};

/// One call of a client on a new connection.
inline Answer call(std::uint16_t port, const std::string& method, const std::string& target, const std::vector<std::pair<std::string, std::string>>& fields, const std::string& body, Milliseconds timeout)
{
    Answer answer;
    asio::io_context context;
    beast::tcp_stream stream(context);
    beast::flat_buffer buffer;
    Request request { http::string_to_verb(method), target, 11 };
    for (const auto& [name, value] : fields)
        request.set(name, value);
    request.body() = body;
    request.prepare_payload();
    http::response_parser<http::string_body> parser;
    parser.body_limit(64U << 20U);
    stream.expires_after(timeout);
    bool isDone = false;
    stream.async_connect(Tcp::endpoint(asio::ip::address_v4::loopback(), port), [&](boost::system::error_code error) {
        if (error)
            return;
        http::async_write(stream, request, [&](boost::system::error_code writeError, std::size_t) {
            if (writeError)
                return;
            http::async_read(stream, buffer, parser, [&](boost::system::error_code readError, std::size_t) { isDone = !readError; });
        });
    });
    context.run();
    if (!isDone)
        return answer;
    answer.status = parser.get().result_int();
    answer.body = parser.get().body();
    for (const auto& field : parser.get())
        answer.fields[std::string(field.name_string())] = std::string(field.value());
    return answer;
}

/// A port that nothing listens on now.
inline std::uint16_t freePort()
{
    asio::io_context context;
    const Tcp::acceptor acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return acceptor.local_endpoint().port();
}

/// A process of the project: the run command of its role in the deploy file, with settings like those that the template makes.
class Process {
public:
    Process(std::string folder, std::string name, std::string settings)
        : m_folder(std::move(folder))
        , m_name(std::move(name))
        , m_settings(std::move(settings))
    {
    }
    ~Process() { kill(); }
    void start()
    {
        const auto file = m_folder + "/" + m_name + ".toml";
        std::ofstream(file) << m_settings;
        const auto log = m_folder + "/" + m_name + ".log";
        m_pid = ::fork();
        if (m_pid == 0) {
            // The process ends with this one, however this one ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int descriptor = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(descriptor, 1);
            ::dup2(descriptor, 2);
            for (int other = 3; other < 1024; ++other)
                ::close(other);
            ::execl("target/apps/cicadalb", "target/apps/cicadalb", "--site", "--settings", file.c_str(), static_cast<char*>(nullptr));
            ::_exit(127);
        }
    }
    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }
    void kill()
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGCONT);
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
    /// Whether the process still runs. If it has ended, @p status is set.
    bool isRunning(int* status = nullptr)
    {
        int value = 0;
        if (m_pid <= 0)
            return false;
        if (::waitpid(m_pid, &value, WNOHANG) == 0)
            return true;
        m_pid = 0;
        if (status)
            *status = value;
        return false;
    }
    std::string logFile() const { return m_folder + "/" + m_name + ".log"; }

private:
    std::string m_folder;
    std::string m_name;
    std::string m_settings;
    pid_t m_pid = 0;
};

struct HostPorts {
    std::uint16_t callers = 0;
    std::uint16_t ready = 0;
};

/// Settings of the role "host", as deploy/host.toml.in gives them.
inline std::string hostSettings(const std::string& name, const std::string& store, const HostPorts& ports, const std::vector<std::string>& mirrors)
{
    std::string list;
    for (const auto& mirror : mirrors)
        list += (list.empty() ? "\"" : ", \"") + mirror + "\"";
    return "[host]\nid = \"" + name + "\"\nfailure-domain = \"zone-a\"\n[addresses]\nstore = \"" + store + "\"\ncallers = \"127.0.0.1:" + std::to_string(ports.callers)
        + "\"\nready = \"127.0.0.1:" + std::to_string(ports.ready) + "\"\nadmin = \"127.0.0.1:" + std::to_string(freePort()) + "\"\nmirrors = [" + list
        + "]\n[parts]\nserving = true\n[work]\nresults-kept-s = 120\nleaving-ms = 2000\n[log]\nlevel = \"info\"\n";
}

/// Settings of the role "coordinator", as deploy/coordinator.toml.in gives them.
inline std::string coordinatorSettings(const std::string& name, const std::string& store, const std::string& mirror, const std::vector<std::string>& mirrors)
{
    std::string list;
    for (const auto& other : mirrors)
        list += (list.empty() ? "\"" : ", \"") + other + "\"";
    return "[host]\nid = \"" + name + "\"\nfailure-domain = \"zone-a\"\nfirst-start = true\n[addresses]\nstore = \"" + store + "\"\nadmin = \"127.0.0.1:" + std::to_string(freePort())
        + "\"\nmirror = \"" + mirror + "\"\nmirrors = [" + list + "]\n[parts]\ncoordinating = true\nduties = []\n[work]\norder-quiet-ms = 3000\nresults-kept-s = 120\nleaving-ms = 2000\nsubmission-end-ms = 3000\n[log]\nlevel = \"info\"\n";
}

/// What a sampler did with a request that it began.
struct Run {
    std::string id;
    std::int64_t arrivedAt = 0;
};

/// A sampler that registers itself in the store. A plain service if it has no model.
class Sampler {
public:
    struct Options {
        std::string id;
        std::string service;
        std::vector<std::string> models;
        unsigned slots = 4;
        unsigned queue = 24;
        /// Time for an answer of a plain service, or for each event.
        Milliseconds work { 20 };
        std::uint64_t events = 6;
        /// Largest share of the answers that are sent once more, late: where the answer to the next request on the connection is expected. Refusals are chosen.
        double extraShare = 0;
    };

    Sampler(Store& store, Record& record, Options options)
        : m_store(store)
        , m_record(record)
        , m_options(std::move(options))
    {
        for (const auto& model : m_options.models)
            m_versions[model] = 1;
        start(0);
    }
    /// The process ends: its port refuses connections. The platform removes its entry after three status report intervals.
    void crash()
    {
        m_hasCrashed = true;
        m_port = m_server->port();
        m_server->stop();
    }
    void removeEntry() { m_store.remove("servers/" + m_options.id); }
    /// A new boot at the same address, with a new id.
    void restart(const std::string& id)
    {
        m_options.id = id;
        m_bornAt = unixMilliseconds();
        m_hasCrashed = false;
        start(m_port);
    }
    void publish(const std::string& state)
    {
        const Json beat { { "service", m_options.service }, { "address", m_server->address() }, { "zone", "zone-a" }, { "version", "v1" }, { "slots", m_options.slots }, { "state", state },
            { "cold_remaining_ms", 0 }, { "models", modelsAsJson() }, { "sequence", ++m_beats }, { "born", m_bornAt } };
        m_store.put("servers/" + m_options.id, beat.dump());
    }
    /// Orders that it has accepted, and requests that it runs now.
    std::uint64_t orders() const { return m_orders; }
    unsigned running() const { return m_running; }
    /// Answers that were sent once more.
    unsigned extras() const { return m_extras; }
    unsigned answers() const { return m_answers; }
    std::uint64_t versionOf(const std::string& model)
    {
        const std::lock_guard lock(m_versionMutex);
        return m_versions[model];
    }
    void setWork(Milliseconds work) { m_workMilliseconds = work.count(); }
    std::vector<Run> runs()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    void start(std::uint16_t port)
    {
        m_server = new Server(port);
        m_server->start([this](Exchange& exchange) { handle(exchange); });
        publish("ready");
    }
    void handle(Exchange& exchange)
    {
        const auto target = exchange.target();
        if (target == "/api/report") {
            exchange.respond(200, Json { { "stage", "hybrid" }, { "models", modelsAsJson() }, { "busy", m_isLoading.load() }, { "sequence", m_orders.load() }, { "queued", 0 }, { "active", m_running.load() }, { "born", m_bornAt } }.dump());
            return;
        }
        if (!exchange.field("X-Expected-Instance").empty() && exchange.field("X-Expected-Instance") != m_options.id) {
            exchange.respond(421, "", { { "X-Instance-Id", m_options.id } });
            return;
        }
        if (target == "/api/order") {
            order(exchange, Json::parse(exchange.request.body()));
            return;
        }
        run(exchange);
    }
    Json modelsAsJson()
    {
        const std::lock_guard lock(m_versionMutex);
        Json models = Json::array();
        for (const auto& [model, version] : m_versions)
            models.push_back({ { "name", model }, { "version", version }, { "adapters", Json::array() } });
        return models;
    }
    /// A change of version, which takes 0.9 s.
    void order(Exchange& exchange, const Json& order)
    {
        const auto model = order.at("model").get<std::string>();
        const auto version = order.at("version").get<std::uint64_t>();
        if (versionOf(model) == version) {
            exchange.respond(200, "{}");
            return;
        }
        if (order.value("expected", m_orders.load()) != m_orders || m_isLoading.exchange(true)) {
            exchange.respond(409, "{}");
            return;
        }
        ++m_orders;
        m_record.line("sampler " + m_options.id + " is ordered to load version " + std::to_string(version) + " of " + model);
        exchange.respond(202, "{}");
        std::thread([this, model, version] {
            sleepFor(Milliseconds(900));
            {
                const std::lock_guard lock(m_versionMutex);
                m_versions[model] = version;
            }
            m_isLoading = false;
            if (!m_hasCrashed)
                publish("ready");
        }).detach();
    }
    void run(Exchange& exchange)
    {
        const auto id = exchange.field("X-Attempt-Id");
        const auto arrivedAt = m_record.now();
        if (const auto extra = std::exchange(exchange.extra, {}); !extra.empty()) {
            m_record.line("sampler " + m_options.id + " sends an earlier answer of this connection once more, where the answer to " + id + " is expected: " + extra.substr(0, extra.find("\r\n")) + ", id " + idIn(extra));
            exchange.writeRaw(extra);
            ++m_extras;
        }
        const auto deadline = Clock::now() + Milliseconds(exchange.field("X-Deadline-Ms").empty() ? 60000 : std::stoll(exchange.field("X-Deadline-Ms")));
        if (!takeSlot(deadline)) {
            exchange.respond(503, "", { { "X-Attempt-Id", id }, { "X-Not-Executed", "1" } });
            decideExtra(exchange);
            return;
        }
        {
            const std::lock_guard lock(m_mutex);
            m_runs.push_back({ id, arrivedAt });
        }
        m_record.line("sampler " + m_options.id + " runs " + id + " (" + exchange.target() + "), which arrived at " + std::to_string(arrivedAt) + " ms");
        if (m_options.models.empty())
            answer(exchange, id);
        else
            stream(exchange, id);
        giveSlotBack();
    }
    void answer(Exchange& exchange, const std::string& id)
    {
        const auto work = m_workMilliseconds >= 0 ? Milliseconds(m_workMilliseconds.load()) : m_options.work;
        const auto until = Clock::now() + work;
        while (Clock::now() < until) {
            sleepFor(Milliseconds(5));
            // Samplers drop a request when its channel closes.
            if (exchange.isClosedByPeer()) {
                exchange.isClosing = true;
                return;
            }
        }
        exchange.respond(200, "answer to " + id, { { "X-Attempt-Id", id }, { "X-Response-Signature", "sig-" + id } }, "text/plain");
        decideExtra(exchange);
    }
    static std::string idIn(const std::string& answer)
    {
        const std::string name = "X-Attempt-Id: ";
        const auto at = answer.find(name);
        return at == std::string::npos ? "" : answer.substr(at + name.size(), answer.find("\r\n", at) - at - name.size());
    }
    void decideExtra(Exchange& exchange)
    {
        ++m_answers;
        const bool isRefusal = exchange.sent.find("X-Not-Executed") != std::string::npos;
        const std::lock_guard lock(m_mutex);
        if (isRefusal && m_chosen + 1 <= m_options.extraShare * m_answers) {
            ++m_chosen;
            exchange.extra = exchange.sent;
        }
    }
    void stream(Exchange& exchange, const std::string& id)
    {
        const auto last = exchange.field("Last-Event-Id");
        const auto model = exchange.field("X-Model");
        auto version = versionOf(model);
        exchange.writeRaw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: sig-" + id
            + "\r\nX-Weight-Versions: " + std::to_string(version) + "\r\n\r\n");
        for (auto number = last.empty() ? 1 : std::stoull(last) + 1; number <= m_options.events; ++number) {
            sleepFor(m_options.work);
            std::string change;
            if (versionOf(model) != version) {
                version = versionOf(model);
                change = "x-weight-versions: " + std::to_string(version) + "\n";
            }
            if (!exchange.writeChunk(change + "id: " + std::to_string(number) + "\ndata: " + id + " " + std::to_string(number) + "\n\n")) {
                exchange.isClosing = true;
                return;
            }
        }
        exchange.writeRaw("0\r\n\r\n");
    }
    bool takeSlot(TimePoint deadline)
    {
        std::unique_lock lock(m_mutex);
        if (m_running >= m_options.slots && m_queued >= m_options.queue)
            return false;
        ++m_queued;
        const bool isFree = m_slotFree.wait_until(lock, deadline, [this] { return m_running < m_options.slots; });
        --m_queued;
        if (isFree)
            ++m_running;
        return isFree;
    }
    void giveSlotBack()
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
        m_slotFree.notify_one();
    }

    Store& m_store;
    Record& m_record;
    Options m_options;
    std::int64_t m_bornAt = unixMilliseconds();
    std::mutex m_versionMutex;
    std::map<std::string, std::uint64_t> m_versions;
    std::atomic<bool> m_isLoading { false };
    std::atomic<bool> m_hasCrashed { false };
    std::atomic<std::uint64_t> m_orders { 0 };
    std::atomic<std::uint64_t> m_beats { 0 };
    std::atomic<std::int64_t> m_workMilliseconds { -1 };
    std::atomic<unsigned> m_extras { 0 };
    std::atomic<unsigned> m_answers { 0 };
    /// Answers that were chosen to be sent once more.
    unsigned m_chosen = 0;
    std::mutex m_mutex;
    std::condition_variable m_slotFree;
    std::atomic<unsigned> m_running { 0 };
    unsigned m_queued = 0;
    std::vector<Run> m_runs;
    std::uint16_t m_port = 0;
    /// Never destroyed, as its threads still use it.
    Server* m_server = nullptr;
};

inline bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/// Waits until @p condition holds. @return false if it does not within @p limit
inline bool waitUntil(const std::function<bool()>& condition, Milliseconds limit)
{
    const auto end = Clock::now() + limit;
    while (Clock::now() < end) {
        if (condition())
            return true;
        sleepFor(Milliseconds(50));
    }
    return false;
}

inline bool isReady(std::uint16_t readyPort)
{
    return call(readyPort, "GET", "/api/readyz", { { "Host", "host" } }, "", Milliseconds(1000)).status == 200;
}

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/// Runs a case and leaves at once, since the threads of the stand-ins have no end.
inline int runCase(int argc, char** argv, int (*run)(const std::string& folder, Record&))
{
    if (argc != 3)
        return couldNotRun;
    int code = couldNotRun;
    {
        Record record(argv[2]);
        code = run(argv[1], record);
        record.line(code == ruleHeld ? "the rule held" : code == ruleBroken ? "the rule was broken"
                                                                            : "the case could not run");
    }
    std::_Exit(code);
}

} // namespace review
