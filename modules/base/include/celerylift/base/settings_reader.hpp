#pragma once

#include <celerylift/error.hpp>

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace celerylift::base {

/// An address by IPv4 number.
struct address {
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const address&) const = default;
};

std::string to_string(const address& a);

/// Reads one mapping of a settings file. The first thing that is wrong is
/// kept as the error; each message names file, key, what was found and what
/// is allowed. Keys that nobody has asked for are an error as well.
class settings_reader {
public:
    /// Opens a file. A file that can't be read or parsed is the error.
    static settings_reader open(const std::string& file);

    std::string text(const std::string& key);

    /// A name: 1 to 63 of [a-z0-9-].
    std::string name(const std::string& key);
    std::int64_t number(const std::string& key, std::int64_t low,
                        std::int64_t high);
    double decimal(const std::string& key, double low, double high);
    base::address address(const std::string& key);

    /// A list of addresses; it may be empty.
    std::vector<base::address> addresses(const std::string& key);

    bool has(const std::string& key) const;
    settings_reader section(const std::string& key);
    std::vector<settings_reader> list(const std::string& key);

    /// Takes over the first error of a part and checks for unknown keys.
    void merge_error(const settings_reader& part);

    /// Reports that a key holds something else than is allowed.
    void report_invalid(const std::string& key, const std::string& found,
                        const std::string& allowed);

    /// Checks for unknown keys. Call it once all keys have been read.
    void check_unknown_keys();

    const std::string& first_error() const { return first_error_; }

private:
    settings_reader(std::string file, std::string path, const YAML::Node& node);

    base::address parse_address(const std::string& key,
                                const std::string& value);
    YAML::Node required(const std::string& key);
    std::string full_key(const std::string& key) const;

    std::string file_;
    std::string path_;
    YAML::Node node_;
    std::set<std::string> requested_keys_;
    std::string first_error_;
};

} // namespace celerylift::base
