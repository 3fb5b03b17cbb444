#include "shape_text.hpp"

#include <array>
#include <cstdio>
#include <fmt/format.h>
#include <utility>

namespace celerylift::entry {

namespace {

constexpr std::array<std::pair<const char*, v1::Adjacency>, 4> units{{
    {"worker", v1::WORKER},
    {"rack", v1::RACK},
    {"domain", v1::FAILURE_DOMAIN},
    {"cell", v1::CELL},
}};

error invalid(std::string message) {
    return {error_kind::invalid_argument, std::move(message),
            run_state::not_run, duration{0}};
}

} // namespace

result<v1::Adjacency> parse_unit(const std::string& text) {
    for (const auto& [name, unit] : units) {
        if (text == name)
            return unit;
    }
    return invalid(fmt::format(
        "unit '{}' is unknown; allowed are worker, rack, domain and cell",
        text));
}

result<v1::GuaranteeBlock> parse_guarantee(const std::string& text) {
    int count = 0;
    int members = 0;
    int accelerators = 0;
    int parsed_length = 0;
    const int fields = std::sscanf(text.c_str(), "%dx%dx%d@%n", &count,
                                   &members, &accelerators, &parsed_length);
    if (fields != 3 || parsed_length == 0)
        return invalid(fmt::format(
            "guarantee '{}' is not of the form COUNTxMEMBERSxACCELERATORS@"
            "UNIT, such as 2x3x8@rack",
            text));
    auto unit = parse_unit(text.substr(parsed_length));
    if (const auto* e = error_of(unit))
        return *e;
    v1::GuaranteeBlock block;
    block.set_count(count);
    block.mutable_shape()->set_members(members);
    block.mutable_shape()->set_accelerators(accelerators);
    block.mutable_shape()->set_within(std::get<v1::Adjacency>(unit));
    return block;
}

std::string to_text(const v1::GuaranteeBlock& block) {
    const char* unit = "cell";
    for (const auto& [name, value] : units) {
        if (value == block.shape().within())
            unit = name;
    }
    return fmt::format("{}x{}x{}@{}", block.count(), block.shape().members(),
                       block.shape().accelerators(), unit);
}

} // namespace celerylift::entry
