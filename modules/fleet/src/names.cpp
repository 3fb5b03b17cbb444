#include <celerylift/fleet/names.hpp>

#include <array>
#include <charconv>
#include <fmt/format.h>

namespace celerylift::fleet {

namespace {

constexpr std::array<std::string_view, 3> part_names = {"in", "stop", "state"};

template <class Number>
std::optional<Number> parse_number(std::string_view text) {
    Number value = 0;
    const auto* end = text.data() + text.size();
    const auto [at, failure] = std::from_chars(text.data(), end, value);
    if (failure != std::errc{} || at != end || value < 0)
        return std::nullopt;
    return value;
}

} // namespace

std::string job_key(std::string_view id, job_part part) {
    return fmt::format("{}{}/{}", job_prefix, id,
                       part_names[static_cast<std::size_t>(part)]);
}

std::optional<job_key_parts> parse_job_key(std::string_view key) {
    if (!key.starts_with(job_prefix))
        return std::nullopt;
    key.remove_prefix(job_prefix.size());
    const auto slash = key.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    for (std::size_t i = 0; i < part_names.size(); ++i)
        if (key.substr(slash + 1) == part_names[i])
            return job_key_parts{std::string(key.substr(0, slash)),
                                 static_cast<job_part>(i)};
    return std::nullopt;
}

std::string to_string(const task_name& name) {
    return fmt::format("{}.{}.{}.{}", name.job, name.occurrence, name.step,
                       name.index);
}

std::optional<task_name> parse_task_name(std::string_view text) {
    std::array<int, 3> numbers{};
    for (std::size_t i = numbers.size(); i-- > 0;) {
        const auto dot = text.rfind('.');
        if (dot == std::string_view::npos)
            return std::nullopt;
        const auto number = parse_number<int>(text.substr(dot + 1));
        if (!number)
            return std::nullopt;
        numbers[i] = *number;
        text = text.substr(0, dot);
    }
    if (text.empty())
        return std::nullopt;
    return task_name{std::string(text), numbers[0], numbers[1], numbers[2]};
}

std::string incarnation_name(std::string_view id,
                             std::int64_t started_unix_ms) {
    return fmt::format("{}@{}", id, started_unix_ms);
}

std::int64_t start_of_incarnation(std::string_view name) {
    const auto at = name.rfind('@');
    if (at == std::string_view::npos)
        return 0;
    return parse_number<std::int64_t>(name.substr(at + 1)).value_or(0);
}

} // namespace celerylift::fleet
