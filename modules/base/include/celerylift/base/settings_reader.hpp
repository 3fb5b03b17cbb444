#pragma once

#include <celerylift/error.hpp>

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace celerylift::base {

/// An IPv4 address in dotted form and a port.
struct address {
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const address&) const = default;
};

std::string to_string(const address& a);

/// Reads one mapping of a settings file. The reader keeps the first error and
/// ignores later ones. Each message names the file, the line, the key, the
/// value found and the allowed values. A key that was never requested is also
/// an error.
class settings_reader {
public:
    /// Opens a file. Sets the error if it cannot be read or parsed.
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

    /// Whether the mapping has this key, which is an allowed one.
    bool has(const std::string& key);
    settings_reader section(const std::string& key);
    std::vector<settings_reader> list(const std::string& key);

    /// Adopts the error of a section unless there is an earlier one.
    void merge_error(const settings_reader& part);

    /// Sets the error for a key whose value is not allowed.
    void report_invalid(const std::string& key, const std::string& found,
                        const std::string& allowed);

    /// Sets the error if the mapping has a key that was not requested. Call
    /// this after all keys have been read.
    void check_unknown_keys();

    /// The first error, or empty if there is none.
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
