#pragma once

#include <docopt/docopt.h>

#include <map>
#include <string>

namespace celerylift::entry {

using command_line = std::map<std::string, docopt::value>;

/// Exit codes that scripts can rely on.
enum exit_code {
    exit_done = 0,
    exit_failed = 1,  // It ran and failed, or ended otherwise than asked.
    exit_usage = 2,   // The command line or settings are wrong.
    exit_refused = 3, // It was not run; the message says what to change.
    exit_unknown = 4, // No answer, or the outcome is not known: ask again.
};

/// Runs one operator's verb against the entries that the command line names.
int run_command(const command_line& arguments);

} // namespace celerylift::entry
