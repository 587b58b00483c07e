#include "CommandLine.h"

#include "ConfigurationCommands.h"
#include "Explain.h"
#include "HostCommands.h"
#include "SiteStateCommand.h"

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

    constexpr const char* description = R"(Reads and edits the configuration of a cicadalb deployment: a table of routes and a table of pools.

Examples:
  cicadactl check routes.toml pools.toml
  cicadactl show --key-value 10.0.0.9:7100 --routes routes.toml --pools pools.toml
  cicadactl apply routes.toml pools.toml --key-value 10.0.0.9:7100 --author asha
  cicadactl drain ledger-2 --key-value 10.0.0.9:7100 --author asha
  cicadactl explain --key-value 10.0.0.9:7100 --method POST --path /ledger/invoices --caller clerks
  cicadactl state --host 10.0.0.1:8081 --host 10.0.0.2:8081 --secret-file secret

Exit codes: 0 success; 1 refused, nothing changed; 2 wrong options or unreadable file;
3 key-value service or host unreachable, nothing changed; 4 outcome unknown, an edit may or may not have been accepted.)";

    using CommandTask = std::function<Task<CommandOutcome>(const boost::asio::any_io_executor&)>;

    /// Runs a command's coroutine on an event loop of its own until it ends.
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

    /// Defines all commands with their options, and runs the one that the arguments select.
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
        void addAuthorOption(CLI::App&, std::string& author);
        void addCheckCommand();
        void addApplyCommand();
        void addShowCommand();
        void addDiffCommand();
        void addHistoryCommand();
        void addRetireCommand();
        void addDrainCommand();
        void addExplainCommand();
        void addSiteStateCommand();
        void addHostCommand(const std::string& name, const std::string& help, HostCommand);

        CommandOutcome runWithClient(const ClientCommand&) const;
        CommandOutcome explainTables();

        CLI::App m_app { description, "cicadactl" };
        Action m_action;
        bool m_isJsonOutput = false;
        std::string m_keyValueAddress;
        ApplyOptions m_applyOptions;
        ShowOptions m_showOptions;
        DiffOptions m_diffOptions;
        RetireOptions m_retireOptions;
        DrainOptions m_drainOptions;
        TableFiles m_explainTableFiles;
        ExplainQuery m_explainQuery;
        HostOptions m_hostOptions;
    };

    CommandLine::CommandLine()
    {
        m_app.require_subcommand(1);
        addCheckCommand();
        addApplyCommand();
        addShowCommand();
        addDiffCommand();
        addHistoryCommand();
        addRetireCommand();
        addDrainCommand();
        addExplainCommand();
        addHostCommand("state", "Dump the state of host processes", stateCommand);
        addHostCommand("steps", "List the trainers' steps that hosts coordinate", stepsCommand);
        addSiteStateCommand();
    }

    CLI::App* CommandLine::addCommand(const std::string& name, const std::string& help, Action action)
    {
        auto* command = m_app.add_subcommand(name, help);
        command->add_flag("--json", m_isJsonOutput, "Print one JSON object");
        command->callback([this, action = std::move(action)] { m_action = action; });
        return command;
    }

    CLI::App* CommandLine::addClientCommand(const std::string& name, const std::string& help, ClientCommand clientCommand)
    {
        auto* command = addCommand(name, help, [this, clientCommand = std::move(clientCommand)] { return runWithClient(clientCommand); });
        command->add_option("--key-value", m_keyValueAddress, "IP:PORT of the key-value service")->required();
        return command;
    }

    void CommandLine::addAuthorOption(CLI::App& command, std::string& author)
    {
        command.add_option("--author", author, "Author of the edit; stored in the record")->required();
    }

    void CommandLine::addCheckCommand()
    {
        auto* command = addCommand("check", "Check a routes file and a pools file without changing anything", [this] { return checkCommand(m_applyOptions.files); });
        command->footer("Example:\n  cicadactl check routes.toml pools.toml");
        command->add_option("ROUTES", m_applyOptions.files.routes, "File of the routes table")->required();
        command->add_option("POOLS", m_applyOptions.files.pools, "File of the pools table")->required();
    }

    void CommandLine::addApplyCommand()
    {
        auto* command = addClientCommand("apply", "Apply a routes file and a pools file as the new configuration",
            [this](ConfigurationClient& client) { return applyCommand(client, m_applyOptions); });
        command->footer(R"(Example, an edit that removes a route on purpose:
  cicadactl show --key-value 10.0.0.9:7100 --routes routes.toml --pools pools.toml
  (edit both files)
  cicadactl apply routes.toml pools.toml --key-value 10.0.0.9:7100 --author asha --retire "route old-lookup")");
        command->add_option("ROUTES", m_applyOptions.files.routes, "File of the routes table")->required();
        command->add_option("POOLS", m_applyOptions.files.pools, "File of the pools table")->required();
        command->add_option("--base", m_applyOptions.baseNumber, "Configuration number that the edit is based on (default: based-on in the routes file)");
        command->add_option("--retire", m_applyOptions.retired, "Entry to remove, as \"route NAME\", \"pool NAME\", \"caller NAME\" or \"trainer NAME\"; repeat for more")->allow_extra_args(false);
        command->add_flag("--allow-capacity-loss", m_applyOptions.allowCapacityLoss, "Allow a pool to lose more than half of its serving targets");
        addAuthorOption(*command, m_applyOptions.author);
    }

    void CommandLine::addShowCommand()
    {
        auto* command = addClientCommand("show", "Show the configuration in force, or write it to files for an edit",
            [this](ConfigurationClient& client) { return showCommand(client, m_showOptions); });
        command->footer("Example, why an edit was refused:\n  cicadactl show --refused --key-value 10.0.0.9:7100");
        auto* routes = command->add_option("--routes", m_showOptions.files.routes, "Write the routes table to this file");
        auto* pools = command->add_option("--pools", m_showOptions.files.pools, "Write the pools table to this file");
        routes->needs(pools);
        pools->needs(routes);
        command->add_flag("--refused", m_showOptions.showsRefusedEdits, "Show the last refused edits instead of the tables");
    }

    void CommandLine::addDiffCommand()
    {
        auto* command = addClientCommand("diff", "Show what a routes file and a pools file would change, or how two records differ",
            [this](ConfigurationClient& client) { return diffCommand(client, m_diffOptions); });
        command->footer("Examples:\n  cicadactl diff routes.toml pools.toml --key-value 10.0.0.9:7100\n  cicadactl diff --from 40 --to 42 --key-value 10.0.0.9:7100");
        auto* routes = command->add_option("ROUTES", m_diffOptions.files.routes, "File of the routes table");
        auto* pools = command->add_option("POOLS", m_diffOptions.files.pools, "File of the pools table");
        routes->needs(pools);
        command->add_option("--from", m_diffOptions.fromNumber, "Number of the older record (default: the one before --to)")->excludes(routes);
        command->add_option("--to", m_diffOptions.toNumber, "Number of the newer record (default: the current one)")->excludes(routes);
    }

    void CommandLine::addHistoryCommand()
    {
        addClientCommand("history", "List the current record and the replaced ones that are still stored, newest first",
            [](ConfigurationClient& client) { return historyCommand(client); });
    }

    void CommandLine::addRetireCommand()
    {
        auto* command = addClientCommand("retire", "Remove entries by name, e.g. retire route old-lookup pool old-ledger",
            [this](ConfigurationClient& client) { return retireCommand(client, m_retireOptions); });
        command->footer("Example:\n  cicadactl retire route old-lookup pool old-ledger --key-value 10.0.0.9:7100 --author asha");
        command->add_option("NAMES", m_retireOptions.kindsAndNames, "route, pool, caller or trainer, and its name; repeat for more")->required()->expected(2, 64);
        addAuthorOption(*command, m_retireOptions.author);
    }

    void CommandLine::addDrainCommand()
    {
        auto* command = addClientCommand("drain", "Stop sending new work to a target",
            [this](ConfigurationClient& client) { return drainCommand(client, m_drainOptions); });
        command->footer("Example:\n  cicadactl drain ledger-2 --key-value 10.0.0.9:7100 --author asha");
        command->add_option("TARGET", m_drainOptions.target, "Id of the target")->required();
        command->add_flag("--undo", m_drainOptions.isUndo, "Send new work to the target again");
        command->add_flag("--allow-capacity-loss", m_drainOptions.allowCapacityLoss, "Allow the pool to lose more than half of its serving targets");
        addAuthorOption(*command, m_drainOptions.author);
    }

    void CommandLine::addExplainCommand()
    {
        auto* command = addCommand("explain", "Explain which route, pool and targets serve a request or a trainer's steps", [this] { return explainTables(); });
        command->footer("Examples:\n  cicadactl explain --key-value 10.0.0.9:7100 --method POST --path /ledger/invoices --caller clerks\n  cicadactl explain --routes routes.toml --pools pools.toml --trainer invoice-draft");
        auto* keyValue = command->add_option("--key-value", m_keyValueAddress, "IP:PORT of the key-value service; explains the configuration in force");
        auto* routes = command->add_option("--routes", m_explainTableFiles.routes, "File of the routes table to explain instead")->excludes(keyValue);
        auto* pools = command->add_option("--pools", m_explainTableFiles.pools, "File of the pools table that goes with --routes");
        routes->needs(pools);
        pools->needs(routes);
        auto* path = command->add_option("--path", m_explainQuery.path, "Path of the request");
        command->add_option("--method", m_explainQuery.method, "Method of the request")->capture_default_str();
        command->add_option("--caller", m_explainQuery.caller, "Name of the caller")->needs(path);
        command->add_option("--trainer", m_explainQuery.trainer, "Name of a trainer, instead of a request")->excludes(path);
    }

    CommandOutcome CommandLine::explainTables()
    {
        if (m_explainQuery.path.empty() == m_explainQuery.trainer.empty())
            return failureOutcome(ExitCode::UsageError, { { ErrorCode::ValueMissing, "either --path with --caller, or --trainer, is required", {} } });
        if (m_explainTableFiles.routes.empty()) {
            return runWithClient([this](ConfigurationClient& client) { return explainCommand(client, [this](const Tables& tables) { return explain(tables, m_explainQuery); }); });
        }
        const auto texts = readTables(m_explainTableFiles);
        if (!texts)
            return failureOutcome(texts.error());
        const auto tables = parseTables(texts.value().routes, texts.value().pools);
        return tables ? explain(tables.value(), m_explainQuery) : failureOutcome(ExitCode::Refused, tables.error());
    }

    void CommandLine::addHostCommand(const std::string& name, const std::string& help, HostCommand hostCommand)
    {
        auto* command = addCommand(name, help, [this, hostCommand] {
            return runTask([this, hostCommand](const boost::asio::any_io_executor& executor) { return hostCommand(executor, m_hostOptions); });
        });
        command->footer("Example:\n  cicadactl " + name + " --host 10.0.0.1:8081 --host 10.0.0.2:8081 --secret-file secret");
        command->add_option("--host", m_hostOptions.adminAddresses, "IP:PORT of a host's admin address; repeat for more")->required()->allow_extra_args(false);
        command->add_option("--secret-file", m_hostOptions.secretFile, "File with the secret that hosts and operators share")->required();
    }

    void CommandLine::addSiteStateCommand()
    {
        auto* command = addCommand("site-state", "Show the state of a site: organisations, coordinator, work, usage reports and orders of engines", [this] {
            return runTask([this](const boost::asio::any_io_executor& executor) { return siteStateCommand(executor, m_hostOptions); });
        });
        command->footer("Example, a host and the candidates for coordination:\n  cicadactl site-state --host 10.0.0.1:8081 --host 10.0.0.7:8081 --host 10.0.0.8:8081");
        command->add_option("--host", m_hostOptions.adminAddresses, "IP:PORT of a process's admin address; repeat for more")->required()->allow_extra_args(false);
    }

    CommandOutcome CommandLine::runWithClient(const ClientCommand& command) const
    {
        const auto address = socketAddressFromText(m_keyValueAddress);
        if (!address)
            return failureOutcome(ExitCode::UsageError, { { ErrorCode::ValueInvalid, address.error().message, "--key-value" } });
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
            return static_cast<int>(code == 0 ? ExitCode::Success : ExitCode::UsageError);
        }
        auto outcome = m_action();
        const bool isSuccess = outcome.exitCode == ExitCode::Success;
        if (m_isJsonOutput) {
            outcome.json["ok"] = isSuccess;
            output << outcome.json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
        } else {
            (isSuccess ? output : errors) << outcome.text;
        }
        return static_cast<int>(outcome.exitCode);
    }

} // namespace

int runCommandLine(int argumentCount, const char* const* arguments, std::ostream& output, std::ostream& errors)
{
    return CommandLine().run(argumentCount, arguments, output, errors);
}

} // namespace cicadalb
