#include "entry_config.hpp"

namespace celerylift::entry {

namespace {

void read_peers(base::settings_reader& reader, entry_config& config) {
    if (!reader.has("peers"))
        return;
    for (auto& part : reader.list("peers")) {
        const auto name = part.name("name");
        config.peers[name] = part.address("control");
        part.finish();
        reader.finish(part);
    }
}

} // namespace

result<entry_config> read_entry_config(const std::string& file) {
    auto reader = base::settings_reader::open(file);
    entry_config config;
    config.name = reader.name("name");
    config.cell = reader.name("cell");
    auto listen = reader.section("listen");
    config.rpc = listen.address("rpc");
    config.control = listen.address("control");
    config.http = listen.address("http");
    listen.finish();
    reader.finish(listen);
    auto store = reader.section("store");
    config.store = store.address("address");
    store.finish();
    reader.finish(store);
    read_peers(reader, config);
    reader.finish();
    if (!reader.problem().empty())
        return error{error_kind::invalid_argument, reader.problem(),
                     run_state::not_run, duration{0}};
    return config;
}

} // namespace celerylift::entry
