#include <celerylift/host/fleet_settings.hpp>

#include <cstdlib>

namespace celerylift::host {

namespace {

constexpr std::int64_t highest_port = 65'535;

constexpr double most_cores = 1024;
constexpr double fastest_link_mbps = 1e6;

error settings_error(const base::settings_reader& reader) {
    return {error_kind::invalid_argument, reader.problem(), run_state::not_run,
            duration{0}};
}

base::address read_metrics(base::settings_reader& listen,
                           const std::string& ip) {
    return {ip, static_cast<std::uint16_t>(
                    listen.number("metrics", 1, highest_port))};
}

/// Entries to ask first, at the port of their links.
std::vector<base::address> read_entries(base::settings_reader& reader,
                                        std::uint16_t port) {
    auto entries = reader.addresses("entries");
    for (auto& entry : entries)
        entry.port = port;
    return entries;
}

} // namespace

result<fleet_entry_settings>
read_fleet_entry_settings(const std::string& file) {
    auto reader = base::settings_reader::open(file);
    fleet_entry_settings s;
    s.name = reader.name("name");
    s.failure_domain = reader.name("failure_domain");
    const auto ip = reader.text("ip");
    s.store = reader.address("store");
    auto listen = reader.section("listen");
    s.callers = listen.address("callers");
    s.readiness = listen.address("readiness");
    s.link = {
        ip, static_cast<std::uint16_t>(listen.number("link", 1, highest_port))};
    s.metrics = read_metrics(listen, ip);
    listen.finish();
    reader.finish(listen);
    if (reader.has("limits")) {
        auto limits = reader.section("limits");
        s.processor_share = limits.decimal("processor_share", 0, most_cores);
        s.link_mbps = limits.decimal("link_mbps", 0, fastest_link_mbps);
        limits.finish();
        reader.finish(limits);
    }
    s.entries = read_entries(reader, s.link.port);
    reader.finish();
    if (!reader.problem().empty())
        return settings_error(reader);
    return s;
}

result<fleet_agent_settings>
read_fleet_agent_settings(const std::string& file) {
    auto reader = base::settings_reader::open(file);
    fleet_agent_settings s;
    s.name = reader.name("name");
    s.failure_domain = reader.name("failure_domain");
    const auto ip = reader.text("ip");
    s.backend_server = reader.address("backend_server");
    auto listen = reader.section("listen");
    s.heartbeats = listen.address("heartbeats");
    s.metrics = read_metrics(listen, ip);
    listen.finish();
    reader.finish(listen);
    const auto port = static_cast<std::uint16_t>(
        reader.number("entry_port", 1, highest_port));
    s.entries = read_entries(reader, port);
    reader.finish();
    if (!reader.problem().empty())
        return settings_error(reader);
    return s;
}

std::string settings_file(const std::string& named) {
    if (!named.empty())
        return named;
    const char* set = std::getenv("CELERYLIFT_SETTINGS");
    return set ? set : "";
}

} // namespace celerylift::host
