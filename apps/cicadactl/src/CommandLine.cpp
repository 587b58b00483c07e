#include "CommandLine.h"

#include "ConfigurationCommands.h"
#include "Explain.h"
#include "HostCommands.h"

#include "cicadalb/config/Settings.h"
#include "cicadalb/services/HttpKeyValueService.h"

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <iostream>
#include <memory>
#include <random>

namespace cicadalb {

namespace {

    constexpr const char* description = R"(Reads and edits the configuration of a cicadalb fleet: a table of routes and a table of pools.

Examples:
  cicadactl check routes.toml pools.toml
  cicadactl show --key-value 10.0.0.9:7100 --routes routes.toml --pools pools.toml
  cicadactl apply routes.toml pools.toml --key-value 10.0.0.9:7100 --author asha
  cicadactl drain ledger-2 --key-value 10.0.0.9:7100 --author asha
  cicadactl explain --key-value 10.0.0.9:7100 --method POST --path /ledger/invoices --caller clerks
  cicadactl state --host 10.0.0.1:8081 --host 10.0.0.2:8081 --secret-file secret

Exit codes: 0 done; 1 refused, nothing changed; 2 wrong options or unreadable file;
3 key-value service or host out of reach, nothing changed; 4 an edit may or may not have been accepted.)";

    using CommandTask = std::function<Task<CommandOutcome>(const boost::asio::any_io_executor&)>;

    /// Runs a command's coroutine to its end.
    CommandOutcome runTask(const CommandTask& task)
    {
        boost::asio::io_context context;
        CommandOutcome outcome;
        const auto run = [&]() -> Task<void> {
            auto result = co_await task(context.get_executor());
            outcome = std::move(result);
        };
        boost::asio::co_spawn(context, run, boost::asio::detached);
        context.run();
        return outcome;
    }

    /// Commands that a parsed command line selects.
    class CommandLine {
    public:
        CommandLine();

        int run(int argumentCount, const char* const* arguments, std::ostream& output, std::ostream& errors);

    private:
        using Action = std::function<CommandOutcome()>;
        using HostCommand = Task<CommandOutcome> (*)(boost::asio::any_io_executor, HostOptions);
        using ClientCommand = std::function<Task<CommandOutcome>(ConfigurationClient&)>;

        CLI::App* addCommand(const std::string& name, const std::string& help, Action);
        /// A command that needs the key-value service.
        CLI::App* addClientCommand(const std::string& name, const std::string& help, ClientCommand);
        void addAuthor(CLI::App&, std::string& author);
        void addCheck();
        void addApply();
        void addShow();
        void addDiff();
        void addHistory();
        void addRetire();
        void addDrain();
        void addExplain();
        void addHostCommand(const std::string& name, const std::string& help, HostCommand);

        CommandOutcome withClient(const ClientCommand&) const;
        CommandOutcome explainTables();

        CLI::App m_app { description, "cicadactl" };
        Action m_action;
        bool m_isJson = false;
        std::string m_keyValue;
        ApplyOptions m_apply;
        ShowOptions m_show;
        DiffOptions m_diff;
        RetireOptions m_retire;
        DrainOptions m_drain;
        TableFiles m_explainFiles;
        ExplainQuery m_explain;
        HostOptions m_hosts;
    };

    CommandLine::CommandLine()
    {
        m_app.require_subcommand(1);
        addCheck();
        addApply();
        addShow();
        addDiff();
        addHistory();
        addRetire();
        addDrain();
        addExplain();
        addHostCommand("state", "Dump the state of host processes", stateCommand);
        addHostCommand("steps", "List the trainers' steps that hosts coordinate", stepsCommand);
    }

    CLI::App* CommandLine::addCommand(const std::string& name, const std::string& help, Action action)
    {
        auto* command = m_app.add_subcommand(name, help);
        command->add_flag("--json", m_isJson, "Print one JSON object");
        command->callback([this, action = std::move(action)] { m_action = action; });
        return command;
    }

    CLI::App* CommandLine::addClientCommand(const std::string& name, const std::string& help, ClientCommand clientCommand)
    {
        auto* command = addCommand(name, help, [this, clientCommand = std::move(clientCommand)] { return withClient(clientCommand); });
        command->add_option("--key-value", m_keyValue, "IP:PORT of the key-value service")->required();
        return command;
    }

    void CommandLine::addAuthor(CLI::App& command, std::string& author)
    {
        command.add_option("--author", author, "Who makes this edit; kept in the record")->required();
    }

    void CommandLine::addCheck()
    {
        auto* command = addCommand("check", "Check two files without changing anything", [this] { return checkCommand(m_apply.files); });
        command->footer("Example:\n  cicadactl check routes.toml pools.toml");
        command->add_option("ROUTES", m_apply.files.routes, "File of the routes table")->required();
        command->add_option("POOLS", m_apply.files.pools, "File of the pools table")->required();
    }

    void CommandLine::addApply()
    {
        auto* command = addClientCommand("apply", "Put two files into force",
            [this](ConfigurationClient& client) { return applyCommand(client, m_apply); });
        command->footer(R"(Example, an edit that removes a route on purpose:
  cicadactl show --key-value 10.0.0.9:7100 --routes routes.toml --pools pools.toml
  (edit both files)
  cicadactl apply routes.toml pools.toml --key-value 10.0.0.9:7100 --author asha --retire "route old-lookup")");
        command->add_option("ROUTES", m_apply.files.routes, "File of the routes table")->required();
        command->add_option("POOLS", m_apply.files.pools, "File of the pools table")->required();
        command->add_option("--base", m_apply.base, "Number that the edit is based on, unless the routes file says based-on");
        command->add_option("--retire", m_apply.retired, "A name that shall go, as \"route NAME\", \"pool NAME\", \"caller NAME\" or \"trainer NAME\"; repeat for more")->allow_extra_args(false);
        command->add_flag("--allow-capacity-loss", m_apply.allowCapacityLoss, "Let a pool lose more than half of its serving targets");
        addAuthor(*command, m_apply.author);
    }

    void CommandLine::addShow()
    {
        auto* command = addClientCommand("show", "Show what is in force, or write it to files for an edit",
            [this](ConfigurationClient& client) { return showCommand(client, m_show); });
        command->footer("Example, why an edit was refused:\n  cicadactl show --refused --key-value 10.0.0.9:7100");
        auto* routes = command->add_option("--routes", m_show.files.routes, "Write the routes table to this file");
        auto* pools = command->add_option("--pools", m_show.files.pools, "Write the pools table to this file");
        routes->needs(pools);
        pools->needs(routes);
        command->add_flag("--refused", m_show.withRefused, "Show the last refused edits instead of the tables");
    }

    void CommandLine::addDiff()
    {
        auto* command = addClientCommand("diff", "Show what two files would change, or what one record changed",
            [this](ConfigurationClient& client) { return diffCommand(client, m_diff); });
        command->footer("Examples:\n  cicadactl diff routes.toml pools.toml --key-value 10.0.0.9:7100\n  cicadactl diff --from 40 --to 42 --key-value 10.0.0.9:7100");
        auto* routes = command->add_option("ROUTES", m_diff.files.routes, "File of the routes table");
        auto* pools = command->add_option("POOLS", m_diff.files.pools, "File of the pools table");
        routes->needs(pools);
        command->add_option("--from", m_diff.from, "Number of the older record (the one before --to)")->excludes(routes);
        command->add_option("--to", m_diff.to, "Number of the newer record (the present one)")->excludes(routes);
    }

    void CommandLine::addHistory()
    {
        addClientCommand("history", "List the records that are still kept, newest first",
            [](ConfigurationClient& client) { return historyCommand(client); });
    }

    void CommandLine::addRetire()
    {
        auto* command = addClientCommand("retire", "Remove entries by name, e.g. retire route old-lookup pool old-ledger",
            [this](ConfigurationClient& client) { return retireCommand(client, m_retire); });
        command->footer("Example:\n  cicadactl retire route old-lookup pool old-ledger --key-value 10.0.0.9:7100 --author asha");
        command->add_option("NAMES", m_retire.words, "route, pool, caller or trainer, and its name; repeat for more")->required()->expected(2, 64);
        addAuthor(*command, m_retire.author);
    }

    void CommandLine::addDrain()
    {
        auto* command = addClientCommand("drain", "Give a target no new work",
            [this](ConfigurationClient& client) { return drainCommand(client, m_drain); });
        command->footer("Example:\n  cicadactl drain ledger-2 --key-value 10.0.0.9:7100 --author asha");
        command->add_option("TARGET", m_drain.target, "Id of the target")->required();
        command->add_flag("--undo", m_drain.undo, "Give it work again");
        command->add_flag("--allow-capacity-loss", m_drain.allowCapacityLoss, "Also if its pool then serves with less than half of its targets");
        addAuthor(*command, m_drain.author);
    }

    void CommandLine::addExplain()
    {
        auto* command = addCommand("explain", "Say where a request or a trainer's steps go, and why", [this] { return explainTables(); });
        command->footer("Examples:\n  cicadactl explain --key-value 10.0.0.9:7100 --method POST --path /ledger/invoices --caller clerks\n  cicadactl explain --routes routes.toml --pools pools.toml --trainer invoice-draft");
        auto* keyValue = command->add_option("--key-value", m_keyValue, "IP:PORT of the key-value service: explain what is in force");
        auto* routes = command->add_option("--routes", m_explainFiles.routes, "Explain this file of the routes table instead")->excludes(keyValue);
        auto* pools = command->add_option("--pools", m_explainFiles.pools, "With this file of the pools table");
        routes->needs(pools);
        pools->needs(routes);
        auto* path = command->add_option("--path", m_explain.path, "Path of the request");
        command->add_option("--method", m_explain.method, "Method of the request")->capture_default_str();
        command->add_option("--caller", m_explain.caller, "Name of the caller")->needs(path);
        command->add_option("--trainer", m_explain.trainer, "Name of a trainer, instead of a request")->excludes(path);
    }

    CommandOutcome CommandLine::explainTables()
    {
        if (m_explain.path.empty() == m_explain.trainer.empty())
            return failed(ExitCode::Usage, { { ErrorCode::ValueMissing, "say --path and --caller, or --trainer", {} } });
        if (m_explainFiles.routes.empty()) {
            return withClient([this](ConfigurationClient& client) { return explainCommand(client, [this](const Tables& tables) { return explain(tables, m_explain); }); });
        }
        const auto texts = readTables(m_explainFiles);
        if (!texts)
            return failed(texts.error());
        const auto tables = parseTables(texts.value().routes, texts.value().pools);
        return tables ? explain(tables.value(), m_explain) : failed(ExitCode::Refused, tables.error());
    }

    void CommandLine::addHostCommand(const std::string& name, const std::string& help, HostCommand hostCommand)
    {
        auto* command = addCommand(name, help, [this, hostCommand] {
            return runTask([this, hostCommand](const boost::asio::any_io_executor& executor) { return hostCommand(executor, m_hosts); });
        });
        command->footer("Example:\n  cicadactl " + name + " --host 10.0.0.1:8081 --host 10.0.0.2:8081 --secret-file secret");
        command->add_option("--host", m_hosts.hosts, "IP:PORT of a host's admin address; repeat for more")->required()->allow_extra_args(false);
        command->add_option("--secret-file", m_hosts.secretFile, "File of the shared secret")->required();
    }

    CommandOutcome CommandLine::withClient(const ClientCommand& command) const
    {
        const auto address = socketAddressFromText(m_keyValue);
        if (!address)
            return failed(ExitCode::Usage, { { ErrorCode::ValueInvalid, address.error().message, "--key-value" } });
        return runTask([&](const boost::asio::any_io_executor& executor) -> Task<CommandOutcome> {
            HttpKeyValueService service(executor, Endpoint { address.value().address, address.value().port });
            Random random(std::random_device {}());
            ConfigurationClient client(executor, service, random);
            auto outcome = co_await command(client);
            co_return outcome;
        });
    }

    int CommandLine::run(int argumentCount, const char* const* arguments, std::ostream& output, std::ostream& errors)
    {
        try {
            m_app.parse(argumentCount, arguments);
        } catch (const CLI::ParseError& error) {
            const auto code = m_app.exit(error, output, errors);
            return static_cast<int>(code == 0 ? ExitCode::Done : ExitCode::Usage);
        }
        auto outcome = m_action();
        const bool isDone = outcome.exitCode == ExitCode::Done;
        if (m_isJson) {
            outcome.json["ok"] = isDone;
            output << outcome.json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
        } else {
            (isDone ? output : errors) << outcome.text;
        }
        return static_cast<int>(outcome.exitCode);
    }

} // namespace

int runCommandLine(int argumentCount, const char* const* arguments, std::ostream& output, std::ostream& errors)
{
    return CommandLine().run(argumentCount, arguments, output, errors);
}

} // namespace cicadalb
