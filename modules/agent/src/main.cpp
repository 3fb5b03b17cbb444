#include "agent_config.hpp"
#include "agent_process.hpp"

#include <celerylift/host/fleet_agent.hpp>

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace {

constexpr const char* usage =
    R"(celerylift-agent: serves one worker and the backend servers on its host.

Usage:
  celerylift-agent --config=FILE [--check-config]
  celerylift-agent fleet [--config=FILE] [--check-config]
  celerylift-agent --help

Options:
  --config=FILE   Settings in YAML; docs/OPERATORS.md has an example. The
                  default in a fleet is $CELERYLIFT_SETTINGS.
  --check-config  Check the settings and exit: 0 if they are valid.

Example:
  celerylift-agent --config=/etc/celerylift/agent.yaml
)";

constexpr int exit_usage = 2;

int run(const std::string& file, bool check_only) {
    auto config = celerylift::agent::read_agent_config(file);
    if (const auto* e = celerylift::error_of(config)) {
        fmt::print(stderr, "celerylift-agent: {}\n", e->message);
        return exit_usage;
    }
    if (check_only) {
        fmt::print("{}: valid\n", file);
        return 0;
    }
    celerylift::agent::agent_process process(
        std::get<celerylift::agent::agent_config>(std::move(config)));
    const int code = process.run();
    if (code != 0)
        std::_Exit(code); // Threads may still block on backend servers.
    return code;
}

int run_in_fleet(const std::string& file, bool check_only) {
    auto settings = celerylift::host::read_fleet_agent_settings(file);
    if (const auto* e = celerylift::error_of(settings)) {
        fmt::print(stderr, "celerylift-agent: {}\n", e->message);
        return exit_usage;
    }
    if (check_only) {
        fmt::print("{}: valid\n", file);
        return 0;
    }
    celerylift::host::fleet_agent agent(
        std::get<celerylift::host::fleet_agent_settings>(settings));
    return agent.run();
}

} // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const auto arguments =
            docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, false);
        const auto& config = arguments.at("--config");
        const bool check_only = arguments.at("--check-config").asBool();
        if (arguments.at("fleet").asBool())
            return run_in_fleet(celerylift::host::settings_file(
                                    config ? config.asString() : ""),
                                check_only);
        return run(config.asString(), check_only);
    } catch (const docopt::DocoptExitHelp&) {
        fmt::print("{}", usage);
        return 0;
    } catch (const docopt::DocoptArgumentError& e) {
        fmt::print(stderr, "celerylift-agent: {}; see --help\n", e.what());
        return exit_usage;
    } catch (const std::exception& e) {
        fmt::print(stderr, "celerylift-agent: {}\n", e.what());
        return 1;
    }
}
