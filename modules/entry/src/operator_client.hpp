#pragma once

#include <docopt/docopt.h>

#include <map>
#include <string>

namespace celerylift::entry {

using command_line = std::map<std::string, docopt::value>;

/// Exit codes that scripts can rely on.
enum exit_code {
    exit_done = 0,
    exit_failed = 1,  // Executed and failed, or cancelled.
    exit_usage = 2,   // The command line or the settings file is invalid.
    exit_refused = 3, // Not executed; the message states what to change.
    exit_unknown = 4, // No answer or unknown outcome; query the job again.
};

/// Runs one operator command against the entries given on the command line.
int run_command(const command_line& arguments);

} // namespace celerylift::entry
