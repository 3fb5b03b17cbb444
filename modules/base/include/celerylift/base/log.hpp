#pragma once

#include <fmt/format.h>

#include <string_view>

namespace celerylift::base {

/// Writes one line to standard error. Log only state changes; frequent events
/// are counted in metrics.
void log_line(std::string_view process, std::string_view line);

/// Formats a line and writes it with log_line().
template <class... Args>
void log_formatted(std::string_view process, fmt::format_string<Args...> format,
                   Args&&... args) {
    log_line(process, fmt::format(format, std::forward<Args>(args)...));
}

} // namespace celerylift::base
