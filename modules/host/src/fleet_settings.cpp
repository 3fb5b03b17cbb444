#include <celerylift/host/fleet_settings.hpp>

#include <cstdlib>

namespace celerylift::host {

namespace {

constexpr std::int64_t max_port = 65'535;

constexpr double max_cores = 1024;
constexpr double max_link_mbps = 1e6;

constexpr std::int64_t max_memory_mb = 1 << 20;
constexpr std::int64_t max_descriptors = 1 << 20;

constexpr std::int64_t max_evacuation_bound_ms = 86'400'000; // A day.

error settings_error(const base::settings_reader& reader) {
    return {error_kind::invalid_argument, reader.first_error(),
            run_state::not_run, duration{0}};
}

base::address read_metrics(base::settings_reader& listen,
                           const std::string& ip) {
    return {ip,
            static_cast<std::uint16_t>(listen.number("metrics", 1, max_port))};
}

/// Entries to connect to first, at the port where they accept links.
std::vector<base::address> read_entries(base::settings_reader& reader,
                                        std::uint16_t port) {
    auto entries = reader.addresses("entries");
    for (auto& entry : entries)
        entry.port = port;
    return entries;
}

/// Reads what clients may hold from the memory and the descriptors of the
/// machine. The settings name both or neither; 0 stands for the default.
/// Returns the memory, or 0.
std::int64_t read_client_limits(base::settings_reader& limits,
                                net::client_limits& clients) {
    if (!limits.has("memory_mb") && !limits.has("max_fds"))
        return 0;
    const auto memory = limits.number("memory_mb", 0, max_memory_mb);
    const auto descriptors = limits.number("max_fds", 0, max_descriptors);
    if (memory > 0 && descriptors > 0)
        clients = net::derive_client_limits(memory, descriptors);
    return memory;
}

/// Reads the switches of the scheduling policy. A mechanism that is not named
/// is on.
fleet::scheduling_policy read_policy(base::settings_reader& reader) {
    fleet::scheduling_policy policy;
    for (const auto& [name, member] : fleet::policy_switches()) {
        if (!reader.has(name))
            continue;
        const auto value = reader.text(name);
        if (value != "on" && value != "off")
            reader.report_invalid(name, "'" + value + "'", "on or off");
        policy.*member = value != "off";
    }
    reader.check_unknown_keys();
    return policy;
}

} // namespace

result<fleet_entry_settings>
read_fleet_entry_settings(const std::string& file) {
    auto reader = base::settings_reader::open(file);
    fleet_entry_settings settings;
    settings.name = reader.name("name");
    settings.failure_domain = reader.name("failure_domain");
    const auto ip = reader.text("ip");
    settings.store = reader.address("store");
    auto listen = reader.section("listen");
    settings.callers = listen.address("callers");
    settings.readiness = listen.address("readiness");
    settings.link = {
        ip, static_cast<std::uint16_t>(listen.number("link", 1, max_port))};
    settings.metrics = read_metrics(listen, ip);
    listen.check_unknown_keys();
    reader.merge_error(listen);
    if (reader.has("limits")) {
        auto limits = reader.section("limits");
        settings.processor_share =
            limits.decimal("processor_share", 0, max_cores);
        settings.link_mbps = limits.decimal("link_mbps", 0, max_link_mbps);
        if (const auto memory = read_client_limits(limits, settings.clients))
            settings.accepted = fleet::derive_accepted_limits(memory);
        limits.check_unknown_keys();
        reader.merge_error(limits);
    }
    if (reader.has("policy")) {
        auto policy = reader.section("policy");
        settings.policy = read_policy(policy);
        reader.merge_error(policy);
    }
    if (reader.has("evacuation_bound_ms"))
        settings.evacuation_bound = duration{
            reader.number("evacuation_bound_ms", 0, max_evacuation_bound_ms)};
    settings.entries = read_entries(reader, settings.link.port);
    reader.check_unknown_keys();
    if (!reader.first_error().empty())
        return settings_error(reader);
    return settings;
}

result<fleet_agent_settings>
read_fleet_agent_settings(const std::string& file) {
    auto reader = base::settings_reader::open(file);
    fleet_agent_settings settings;
    settings.name = reader.name("name");
    settings.failure_domain = reader.name("failure_domain");
    const auto ip = reader.text("ip");
    settings.backend_server = reader.address("backend_server");
    auto listen = reader.section("listen");
    settings.heartbeats = listen.address("heartbeats");
    settings.metrics = read_metrics(listen, ip);
    listen.check_unknown_keys();
    reader.merge_error(listen);
    if (reader.has("limits")) {
        auto limits = reader.section("limits");
        read_client_limits(limits, settings.clients);
        limits.check_unknown_keys();
        reader.merge_error(limits);
    }
    const auto port =
        static_cast<std::uint16_t>(reader.number("entry_port", 1, max_port));
    settings.entries = read_entries(reader, port);
    reader.check_unknown_keys();
    if (!reader.first_error().empty())
        return settings_error(reader);
    return settings;
}

std::string settings_file(const std::string& path) {
    if (!path.empty())
        return path;
    const char* value = std::getenv("CELERYLIFT_SETTINGS");
    return value ? value : "";
}

} // namespace celerylift::host
