#include "entry_config.hpp"
#include "entry_process.hpp"
#include "operator_client.hpp"

#include <celerylift/host/fleet_entry.hpp>

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>

namespace {

constexpr const char* usage =
    R"(celerylift: schedules gangs of accelerators within the organisations' guarantees.

Usage:
  celerylift serve --config=FILE [--check-config]
  celerylift fleet-entry [--config=FILE] [--check-config]
  celerylift org put NAME [--guarantee=SHAPE]... [--queue-limit=N] [--revision=N] [--entry=LIST] [--json]
  celerylift org list [--entry=LIST] [--json]
  celerylift org remove NAME --revision=N [--entry=LIST] [--json]
  celerylift job submit ID --org=NAME [--gang=GANG] [--service=NAME] [--payload=TEXT] [--urgent] [--once] [--declared-ms=N] [--deadline-ms=N] [--wait] [--timeout-ms=N] [--entry=LIST] [--json]
  celerylift job wait ID [--timeout-ms=N] [--entry=LIST] [--json]
  celerylift job get ID [--entry=LIST] [--json]
  celerylift job cancel ID [--entry=LIST] [--json]
  celerylift backends [--entry=LIST] [--json]
  celerylift workers [--entry=LIST] [--json]
  celerylift drain TARGET [--entry=LIST] [--json]
  celerylift return TARGET [--entry=LIST] [--json]
  celerylift config get [--entry=LIST] [--json]
  celerylift config set [--gang-lease-ms=N] [--heartbeat-ms=N] [--checkpoint-grace-ms=N] [--queue-limit=N] [--fragmentation-weight=N] [--max-attempts=N] [--policy=NAME] [--revision=N] [--entry=LIST] [--json]
  celerylift timeline [--subject=ID] [--limit=N] [--entry=LIST] [--json]
  celerylift explain ID [--entry=LIST] [--json]
  celerylift cell [--entry=LIST] [--json]
  celerylift --help

Options:
  --config=FILE               Settings in YAML; docs/OPERATORS.md has an example.
                              The default of fleet-entry is $CELERYLIFT_SETTINGS.
  --check-config              Check the settings and exit: 0 if they are valid.
  --entry=LIST                Entries to call, in order [default: 127.0.0.1:7101].
  --json                      Print the reply as JSON.
  --guarantee=SHAPE           COUNTxMEMBERSxACCELERATORS@UNIT; the unit is worker, rack, domain or cell.
  --queue-limit=N             Maximum number of waiting jobs.
  --revision=N                The expected revision; 0 creates.
  --org=NAME                  The organisation that the job is charged to.
  --gang=GANG                 MEMBERSxACCELERATORS@UNIT.
  --service=NAME              The service that executes the job.
  --payload=TEXT              Input of the tasks or the backend server.
  --urgent                    Scheduled before batch jobs.
  --once                      Not repeatable: runs at most once.
  --declared-ms=N             Expected run time.
  --deadline-ms=N             Ends the job this long after its acceptance.
  --wait                      Wait for the outcome.
  --timeout-ms=N              How long to wait, up to 30000.
  --gang-lease-ms=N           How long a gang runs without a message from its owner.
  --heartbeat-ms=N            Interval of the agents' reports.
  --checkpoint-grace-ms=N     Time for a reclaimed gang to write a checkpoint.
  --fragmentation-weight=N    0 favours completion time, 100 unfragmented racks.
  --max-attempts=N            Maximum starts of a repeatable job.
  --policy=NAME               shape_aware or first_fit.
  --subject=ID                Only events of this job, worker or process.
  --limit=N                   Only the latest N events.

Exit codes: 0 success, 1 executed and failed, 2 usage error, 3 rejected and not
executed, 4 no answer or outcome unknown.

Example:
  celerylift org put kwela --guarantee=1x3x8@rack
  celerylift job submit cake-7 --org=kwela --gang=3x8@rack --payload=run_ms=500 --wait
)";

using namespace celerylift::entry;

int serve(const std::string& file, bool check_only) {
    auto config = read_entry_config(file);
    if (const auto* e = celerylift::error_of(config)) {
        fmt::print(stderr, "celerylift: {}\n", e->message);
        return exit_usage;
    }
    if (check_only) {
        fmt::print("{}: valid\n", file);
        return exit_done;
    }
    entry_process process(std::get<entry_config>(std::move(config)));
    return process.run();
}

int serve_fleet(const std::string& file, bool check_only) {
    auto settings = celerylift::host::read_fleet_entry_settings(file);
    if (const auto* e = celerylift::error_of(settings)) {
        fmt::print(stderr, "celerylift: {}\n", e->message);
        return exit_usage;
    }
    if (check_only) {
        fmt::print("{}: valid\n", file);
        return exit_done;
    }
    celerylift::host::fleet_entry entry(
        std::get<celerylift::host::fleet_entry_settings>(settings));
    return entry.run();
}

std::string config_file(const command_line& arguments) {
    const auto& named = arguments.at("--config");
    return celerylift::host::settings_file(named ? named.asString() : "");
}

int run(const command_line& arguments) {
    if (arguments.at("fleet-entry").asBool())
        return serve_fleet(config_file(arguments),
                           arguments.at("--check-config").asBool());
    if (arguments.at("serve").asBool())
        return serve(arguments.at("--config").asString(),
                     arguments.at("--check-config").asBool());
    return run_command(arguments);
}

} // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return run(
            docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, false));
    } catch (const docopt::DocoptExitHelp&) {
        fmt::print("{}", usage);
        return exit_done;
    } catch (const docopt::DocoptArgumentError& e) {
        fmt::print(stderr, "celerylift: {}; see --help\n", e.what());
        return exit_usage;
    } catch (const std::exception& e) {
        fmt::print(stderr, "celerylift: {}\n", e.what());
        return exit_failed;
    }
}
