#include "CommandLine.h"

#include "ConfigurationCommands.h"

#include "cicadalb/config/Settings.h"
#include "cicadalb/platform/HttpKeyValueService.h"

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

Exit codes: 0 done; 1 refused, nothing changed; 2 wrong options or unreadable file;
3 key-value service or host out of reach, nothing changed; 4 an edit may or may not have been accepted.)";

    /// Commands that a parsed command line selects.
    class CommandLine {
    public:
        CommandLine();

        int run(int argumentCount, const char* const* arguments, std::ostream& output, std::ostream& errors);

    private:
        using Action = std::function<CommandOutcome()>;
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

        CommandOutcome withClient(const ClientCommand&) const;

        CLI::App m_app { description, "cicadactl" };
        Action m_action;
        bool m_isJson = false;
        std::string m_keyValue;
        ApplyOptions m_apply;
        ShowOptions m_show;
        DiffOptions m_diff;
        RetireOptions m_retire;
        DrainOptions m_drain;
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
    }

    CLI::App* CommandLine::addCommand(const std::string& name, const std::string& help, Action action)
    {
        auto* command = m_app.add_subcommand(name, help);
        command->add_flag("--json", m_isJson, "Print one JSON object");
        command->callback([this, action = std::move(action)] { m_action = action; });
        return command;
    }

    CLI::App* CommandLine::addClientCommand(const std::string& name, const std::string& help, ClientCommand run)
    {
        auto* command = addCommand(name, help, [this, run = std::move(run)] { return withClient(run); });
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
        command->add_option("ROUTES", m_apply.files.routes, "File of the routes table")->required();
        command->add_option("POOLS", m_apply.files.pools, "File of the pools table")->required();
    }

    void CommandLine::addApply()
    {
        auto* command = addClientCommand("apply", "Put two files into force",
            [this](ConfigurationClient& client) { return applyCommand(client, m_apply); });
        command->add_option("ROUTES", m_apply.files.routes, "File of the routes table")->required();
        command->add_option("POOLS", m_apply.files.pools, "File of the pools table")->required();
        command->add_option("--base", m_apply.base, "Number that the edit is based on, unless the routes file says based-on");
        command->add_option("--retire", m_apply.retired, "A name that shall go, as \"route NAME\", \"pool NAME\", \"caller NAME\" or \"trainer NAME\"; repeat for more");
        command->add_flag("--allow-capacity-loss", m_apply.allowCapacityLoss, "Let a pool lose more than half of its serving targets");
        addAuthor(*command, m_apply.author);
    }

    void CommandLine::addShow()
    {
        auto* command = addClientCommand("show", "Show what is in force, or write it to files for an edit",
            [this](ConfigurationClient& client) { return showCommand(client, m_show); });
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
        command->add_option("NAMES", m_retire.words, "route, pool, caller or trainer, and its name; repeat for more")->required()->expected(2, 64);
        addAuthor(*command, m_retire.author);
    }

    void CommandLine::addDrain()
    {
        auto* command = addClientCommand("drain", "Give a target no new work",
            [this](ConfigurationClient& client) { return drainCommand(client, m_drain); });
        command->add_option("TARGET", m_drain.target, "Id of the target")->required();
        command->add_flag("--undo", m_drain.undo, "Give it work again");
        command->add_flag("--allow-capacity-loss", m_drain.allowCapacityLoss, "Also if its pool then serves with less than half of its targets");
        addAuthor(*command, m_drain.author);
    }

    CommandOutcome CommandLine::withClient(const ClientCommand& command) const
    {
        const auto address = socketAddressFromText(m_keyValue);
        if (!address)
            return failed(ExitCode::Usage, { { ErrorCode::ValueInvalid, address.error().message, "--key-value" } });
        boost::asio::io_context context;
        HttpKeyValueService service(context.get_executor(), Endpoint { address.value().address, address.value().port });
        Random random(std::random_device {}());
        ConfigurationClient client(context.get_executor(), service, random);
        CommandOutcome outcome;
        const auto run = [&]() -> Task<void> {
            auto result = co_await command(client);
            outcome = std::move(result);
        };
        boost::asio::co_spawn(context, run, boost::asio::detached);
        context.run();
        return outcome;
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
