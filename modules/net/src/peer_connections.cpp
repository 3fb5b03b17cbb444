#include <celerylift/net/peer_connections.hpp>

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <optional>

namespace celerylift::net {

namespace {

constexpr char number_mark = '#';
constexpr char number_separator = '.';

/// A process that started earlier by its clock than the one that is known
/// replaces it only after this silence. Its host's clock was set back, or its
/// version does not number connections.
constexpr duration replacement_silence{2500};

constexpr duration retention{600'000};
constexpr std::size_t max_former_starts = 8;

std::optional<std::int64_t> parse_number(std::string_view text) {
    std::int64_t number = 0;
    const auto* end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{} || parsed != end || number <= 0)
        return std::nullopt;
    return number;
}

void replace_process(known_process& known, const connection_id& id) {
    if (is_numbered(known.newest) && is_numbered(id)) {
        auto& former = known.former_starts;
        if (former.size() == max_former_starts)
            former.erase(former.begin());
        former.push_back(known.newest.process_started_unix_ms);
    }
    known.newest = id;
}

} // namespace

bool is_numbered(const connection_id& id) {
    return id.number > 0;
}

std::string to_string(const connection_id& id) {
    return is_numbered(id) ? fmt::format("{}{}{}{}{}", id.process, number_mark,
                                         id.process_started_unix_ms,
                                         number_separator, id.number)
                           : id.process;
}

connection_id parse_connection_id(std::string_view routing_id) {
    const auto mark = routing_id.rfind(number_mark);
    const auto separator = routing_id.rfind(number_separator);
    if (mark != std::string_view::npos && separator != std::string_view::npos &&
        mark < separator) {
        const auto started =
            parse_number(routing_id.substr(mark + 1, separator - mark - 1));
        const auto number = parse_number(routing_id.substr(separator + 1));
        if (started && number)
            return {std::string(routing_id.substr(0, mark)), *started, *number};
    }
    return {std::string(routing_id), 0, 0};
}

bool accept_message(known_processes& known, const connection_id& id,
                    time_point now) {
    auto [it, added] =
        known.try_emplace(id.process, known_process{id, now, {}});
    if (added)
        return true;
    auto& process = it->second;
    const auto started = id.process_started_unix_ms;
    if (started == process.newest.process_started_unix_ms) {
        if (id.number < process.newest.number)
            return false;
        process.newest.number = id.number;
    } else {
        const bool is_former =
            std::ranges::find(process.former_starts, started) !=
            process.former_starts.end();
        const bool is_later = started > process.newest.process_started_unix_ms;
        const bool is_silent =
            now > process.last_message_at + replacement_silence;
        if (is_former || (!is_later && !is_silent))
            return false;
        replace_process(process, id);
    }
    process.last_message_at = now;
    return true;
}

void forget_silent_processes(known_processes& known, time_point now) {
    std::erase_if(known, [now](const auto& entry) {
        return now > entry.second.last_message_at + retention;
    });
}

} // namespace celerylift::net
