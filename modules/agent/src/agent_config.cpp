#include "agent_config.hpp"

#include <celerylift/kernel/cell_state.hpp>

namespace celerylift::agent {

namespace {

void read_worker(base::settings_reader& reader, agent_config& config) {
    if (!reader.has("worker"))
        return;
    auto part = reader.section("worker");
    config.worker.id = part.name("id");
    config.worker_address = part.address("address");
    config.worker.accelerators = static_cast<int>(
        part.number("accelerators", 1, kernel::max_accelerators_per_worker));
    part.check_unknown_keys();
    reader.merge_error(part);
}

} // namespace

result<agent_config> read_agent_config(const std::string& file) {
    auto reader = base::settings_reader::open(file);
    agent_config config;
    config.name = reader.name("name");
    config.worker.failure_domain = reader.name("failure_domain");
    config.worker.rack = reader.name("rack");
    auto listen = reader.section("listen");
    config.http = listen.address("http");
    listen.check_unknown_keys();
    reader.merge_error(listen);
    for (auto& part : reader.list("entries")) {
        const auto name = part.name("name");
        config.entries[name] = part.address("control");
        part.check_unknown_keys();
        reader.merge_error(part);
    }
    if (config.entries.empty())
        reader.report_invalid("entries", "none", "at least one");
    read_worker(reader, config);
    reader.check_unknown_keys();
    if (!reader.first_error().empty())
        return error{error_kind::invalid_argument, reader.first_error(),
                     run_state::not_run, duration{0}};
    return config;
}

} // namespace celerylift::agent
