#include "entry_config.hpp"

namespace celerylift::entry {

namespace {

void read_peers(base::settings_reader& reader, entry_config& config) {
    if (!reader.has("peers"))
        return;
    for (auto& part : reader.list("peers")) {
        const auto name = part.name("name");
        config.peers[name] = part.address("control");
        part.check_unknown_keys();
        reader.merge_error(part);
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
    listen.check_unknown_keys();
    reader.merge_error(listen);
    auto store = reader.section("store");
    config.store = store.address("address");
    store.check_unknown_keys();
    reader.merge_error(store);
    read_peers(reader, config);
    reader.check_unknown_keys();
    if (!reader.first_error().empty())
        return error{error_kind::invalid_argument, reader.first_error(),
                     run_state::not_run, duration{0}};
    return config;
}

} // namespace celerylift::entry
