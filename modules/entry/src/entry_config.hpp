#pragma once

#include <celerylift/base/settings_reader.hpp>
#include <celerylift/error.hpp>

#include <map>
#include <string>

namespace celerylift::entry {

/// The settings file of an entry.
struct entry_config {
    std::string name;
    std::string cell;
    base::address rpc;
    base::address control;
    base::address http;
    base::address store;
    std::map<std::string, base::address> peers;

    bool operator==(const entry_config&) const = default;
};

/// Reads and validates the whole file. The error message is one line.
result<entry_config> read_entry_config(const std::string& file);

} // namespace celerylift::entry
