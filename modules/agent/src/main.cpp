#include "agent_config.hpp"
#include "agent_process.hpp"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>

namespace {

constexpr const char* usage =
    R"(celerylift-agent: fronts one worker and the backend servers beside it.

Usage:
  celerylift-agent --config=FILE [--check-config]
  celerylift-agent --help

Options:
  --config=FILE   Settings in YAML; docs/OPERATORS.md has an example.
  --check-config  Check the settings and exit: 0 if they are sound.

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
        fmt::print("{}: sound\n", file);
        return 0;
    }
    celerylift::agent::agent_process process(
        std::get<celerylift::agent::agent_config>(std::move(config)));
    const int code = process.run();
    if (code != 0)
        std::_Exit(code); // Threads still wait for backend servers.
    return code;
}

} // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const auto arguments =
            docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, false);
        return run(arguments.at("--config").asString(),
                   arguments.at("--check-config").asBool());
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
