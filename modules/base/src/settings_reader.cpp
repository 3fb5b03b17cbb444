#include <celerylift/base/settings_reader.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace celerylift::base {

namespace {
constexpr std::size_t max_name_length = 63;
constexpr int max_port = 65535;

bool is_ipv4_address(const std::string& host) {
    in_addr buffer{};
    return inet_pton(AF_INET, host.c_str(), &buffer) == 1;
}

bool is_name(const std::string& text) {
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') ||
                      c == '-';
           });
}

} // namespace

std::string to_string(const address& a) {
    return fmt::format("{}:{}", a.host, a.port);
}

settings_reader::settings_reader(std::string file, std::string path,
                                 const YAML::Node& node)
    : file_(std::move(file)), path_(std::move(path)), node_(node) {}

settings_reader settings_reader::open(const std::string& file) {
    settings_reader reader(file, "", YAML::Node());
    try {
        reader.node_ = YAML::LoadFile(file);
    } catch (const YAML::BadFile&) {
        reader.first_error_ = fmt::format(
            "{}: can't be read; check the path and its rights", file);
        return reader;
    } catch (const YAML::ParserException& e) {
        reader.first_error_ =
            fmt::format("{}:{}: is not YAML: {}", file, e.mark.line + 1, e.msg);
        return reader;
    }
    if (!reader.node_.IsMap())
        reader.first_error_ =
            fmt::format("{}: contains no keys; see docs/OPERATORS.md for an "
                        "example",
                        file);
    return reader;
}

std::string settings_reader::full_key(const std::string& key) const {
    return path_.empty() ? key : path_ + "." + key;
}

void settings_reader::report_invalid(const std::string& key,
                                     const std::string& found,
                                     const std::string& allowed) {
    if (!first_error_.empty())
        return;
    const auto node = node_.IsMap() ? node_[key] : YAML::Node();
    const int line = node.IsDefined() ? node.Mark().line : node_.Mark().line;
    first_error_ = fmt::format("{}:{}: {}: found {}; allowed is {}", file_,
                               line + 1, full_key(key), found, allowed);
}

YAML::Node settings_reader::required(const std::string& key) {
    requested_keys_.insert(key);
    if (!first_error_.empty() || !node_.IsMap())
        return {};
    auto node = node_[key];
    if (!node.IsDefined())
        report_invalid(key, "nothing", "a value; the key is required");
    return node.IsDefined() ? node : YAML::Node();
}

std::string settings_reader::text(const std::string& key) {
    const auto node = required(key);
    if (!first_error_.empty())
        return {};
    if (!node.IsScalar()) {
        report_invalid(key, "a list or section", "one value");
        return {};
    }
    return node.Scalar();
}

std::string settings_reader::name(const std::string& key) {
    auto value = text(key);
    if (first_error_.empty() && !is_name(value))
        report_invalid(key, "'" + value + "'", "1 to 63 of a-z, 0-9 and -");
    return value;
}

std::int64_t settings_reader::number(const std::string& key, std::int64_t low,
                                     std::int64_t high) {
    const auto value = text(key);
    if (!first_error_.empty())
        return 0;
    char* end = nullptr;
    const auto parsed = std::strtoll(value.c_str(), &end, 10);
    const bool fully_parsed = !value.empty() && *end == '\0';
    if (!fully_parsed || parsed < low || parsed > high)
        report_invalid(
            key, "'" + value + "'",
            fmt::format("a whole number from {} to {}, without a unit", low,
                        high));
    return parsed;
}

double settings_reader::decimal(const std::string& key, double low,
                                double high) {
    const auto value = text(key);
    if (!first_error_.empty())
        return 0;
    char* end = nullptr;
    const auto parsed = std::strtod(value.c_str(), &end);
    const bool fully_parsed = !value.empty() && *end == '\0';
    if (!fully_parsed || !(parsed >= low && parsed <= high))
        report_invalid(
            key, "'" + value + "'",
            fmt::format("a number from {} to {}, without a unit", low, high));
    return parsed;
}

address settings_reader::address(const std::string& key) {
    return parse_address(key, text(key));
}

std::vector<address> settings_reader::addresses(const std::string& key) {
    const auto node = required(key);
    std::vector<base::address> result;
    if (!first_error_.empty())
        return result;
    if (!node.IsSequence()) {
        report_invalid(key, "a value that is not a list",
                       "a list of addresses");
        return result;
    }
    for (const auto& item : node)
        result.push_back(
            parse_address(key, item.IsScalar() ? item.Scalar() : ""));
    return result;
}

address settings_reader::parse_address(const std::string& key,
                                       const std::string& value) {
    if (!first_error_.empty())
        return {};
    const auto colon = value.rfind(':');
    const auto host = value.substr(0, colon);
    const int port =
        colon == std::string::npos ? 0 : std::atoi(value.c_str() + colon + 1);
    if (!is_ipv4_address(host) || port < 1 || port > max_port) {
        report_invalid(key, "'" + value + "'",
                       "an IPv4 number and a port, such as 127.0.0.1:7101");
        return {};
    }
    return {host, static_cast<std::uint16_t>(port)};
}

bool settings_reader::has(const std::string& key) {
    requested_keys_.insert(key);
    return node_.IsMap() && node_[key].IsDefined();
}

settings_reader settings_reader::section(const std::string& key) {
    const auto node = required(key);
    if (first_error_.empty() && !node.IsMap())
        report_invalid(key, "one value", "a section with keys");
    settings_reader part(file_, full_key(key),
                         first_error_.empty() ? node : YAML::Node());
    part.first_error_ = first_error_;
    return part;
}

std::vector<settings_reader> settings_reader::list(const std::string& key) {
    const auto node = required(key);
    std::vector<settings_reader> parts;
    if (!first_error_.empty())
        return parts;
    if (!node.IsSequence()) {
        report_invalid(key, "a value that is not a list", "a list of sections");
        return parts;
    }
    for (std::size_t i = 0; i < node.size(); ++i)
        parts.push_back(settings_reader(
            file_, fmt::format("{}[{}]", full_key(key), i), node[i]));
    return parts;
}

void settings_reader::merge_error(const settings_reader& part) {
    if (first_error_.empty())
        first_error_ = part.first_error_;
}

void settings_reader::check_unknown_keys() {
    if (!first_error_.empty() || !node_.IsMap())
        return;
    for (const auto& entry : node_) {
        const auto key = entry.first.Scalar();
        if (requested_keys_.contains(key))
            continue;
        report_invalid(
            key, "an unknown key",
            fmt::format("one of {}", fmt::join(requested_keys_, ", ")));
        return;
    }
}

} // namespace celerylift::base
