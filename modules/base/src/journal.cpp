#include <celerylift/base/journal.hpp>

#include <fmt/format.h>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace celerylift::base {

namespace {

/// Holds a burst of a few seconds, about 2 MB at 250 bytes a line.
constexpr std::size_t max_queued_lines = 8192;

void append_quoted(std::string& out, std::string_view text) {
    out += '"';
    for (const char c : text) {
        if (c == '"' || c == '\\')
            out += '\\';
        if (static_cast<unsigned char>(c) < 0x20)
            out += fmt::format("\\u{:04x}", static_cast<unsigned>(c));
        else
            out += c;
    }
    out += '"';
}

} // namespace

journal::journal(std::string process, std::function<std::int64_t()> unix_ms,
                 sink write)
    : process_(std::move(process)), unix_ms_(std::move(unix_ms)),
      write_(std::move(write)) {}

void journal::event(std::string_view kind,
                    std::initializer_list<field> fields) {
    std::string line = fmt::format(R"({{"unix_ms":{},"process":)", unix_ms_());
    append_quoted(line, process_);
    line += R"(,"event":)";
    append_quoted(line, kind);
    for (const auto& f : fields) {
        line += ',';
        append_quoted(line, f.name);
        line += ':';
        if (f.quoted)
            append_quoted(line, f.value);
        else
            line += f.value;
    }
    line += '}';
    ++lines_;
    write_(std::move(line));
}

journal::sink asynchronous_output() {
    spdlog::init_thread_pool(max_queued_lines, 1);
    auto logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>("out");
    logger->set_pattern("%v");
    logger->flush_on(spdlog::level::info);
    return [logger](const std::string& line) { logger->info(line); };
}

std::uint64_t dropped_output_lines() {
    const auto pool = spdlog::thread_pool();
    return pool ? pool->overrun_counter() : 0;
}

} // namespace celerylift::base
