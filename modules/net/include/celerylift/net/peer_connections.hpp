#pragma once

#include <celerylift/time.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace celerylift::net {

/// Identifies one connection of a process. A process numbers its connections in
/// the order in which it opens them, over all of its peers. Earlier versions
/// use the process's name alone; both numbers are then 0.
struct connection_id {
    std::string process;
    std::int64_t process_started_unix_ms = 0;
    std::int64_t number = 0;

    auto operator<=>(const connection_id&) const = default;
};

/// Whether the connection's process numbers its connections.
bool is_numbered(const connection_id& id);

/// The routing id of the connection.
std::string to_string(const connection_id& id);

/// Never fails: what has no valid numbers is the name of a process.
connection_id parse_connection_id(std::string_view routing_id);

/// What a listener knows of the connections of one process.
struct known_process {
    connection_id newest;
    time_point last_message_at{};
    /// Start times of earlier processes of this name. Their connections stay
    /// superseded even when the clock of the host has been set back.
    std::vector<std::int64_t> former_starts;
};

using known_processes = std::map<std::string, known_process, std::less<>>;

/// Notes a message. Returns false if a newer connection of the same process has
/// superseded the one that the message came on: such a message was delayed, and
/// is not to be acted on.
bool accept_message(known_processes& known, const connection_id& id,
                    time_point now);

/// Forgets the processes that have been silent for minutes, so that the table
/// does not grow with each host that is replaced.
void forget_silent_processes(known_processes& known, time_point now);

} // namespace celerylift::net
