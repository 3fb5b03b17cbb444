#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace celerylift::base {

/// One key and value of a journal line.
struct field {
    std::string_view name;
    std::string value;
    bool quoted = true;

    field(std::string_view n, std::string v) : name(n), value(std::move(v)) {}
    field(std::string_view n, std::string_view v) : name(n), value(v) {}
    field(std::string_view n, const char* v) : name(n), value(v) {}
    field(std::string_view n, bool v)
        : name(n), value(v ? "true" : "false"), quoted(false) {}
    template <class Number>
    requires std::is_integral_v<Number> field(std::string_view n, Number v)
        : name(n), value(std::to_string(v)), quoted(false) {}
};

/// Writes one line with a JSON object for each decision of a process. Writing
/// never blocks: if the reader falls behind, the oldest lines are dropped and
/// counted.
class journal {
public:
    using sink = std::function<void(std::string line)>;

    /// Passes each line to `write`. `unix_ms` returns the time of day.
    journal(std::string process, std::function<std::int64_t()> unix_ms,
            sink write);

    void event(std::string_view kind, std::initializer_list<field> fields);

    std::uint64_t lines() const { return lines_; }

private:
    std::string process_;
    std::function<std::int64_t()> unix_ms_;
    sink write_;
    std::uint64_t lines_ = 0;
};

/// A sink that writes to standard output on a background thread.
journal::sink asynchronous_output();

/// Number of lines that asynchronous_output() dropped because its queue was
/// full.
std::uint64_t dropped_output_lines();

} // namespace celerylift::base
