#pragma once

#include <celerylift/error.hpp>

#include <api.pb.h>

#include <string>

namespace celerylift::entry {

/// Reads a guarantee such as `2x3x8@rack`: two gangs of three members of
/// eight accelerators, each gang within one rack. The unit is one of worker,
/// rack, domain and cell.
result<v1::GuaranteeBlock> parse_guarantee(const std::string& text);

/// Reads the name of a unit.
result<v1::Adjacency> parse_unit(const std::string& text);

/// The inverse of parse_guarantee.
std::string to_text(const v1::GuaranteeBlock& block);

} // namespace celerylift::entry
