#pragma once

#include <celerylift/error.hpp>

#include <api.pb.h>

#include <string>

namespace celerylift::entry {

/// Parses a guarantee such as `2x3x8@rack`: two gangs of three members with
/// eight accelerators each, each gang within one rack. The unit is worker,
/// rack, domain or cell.
result<v1::GuaranteeBlock> parse_guarantee(const std::string& text);

/// Parses the name of a unit.
result<v1::Adjacency> parse_unit(const std::string& text);

/// The inverse of parse_guarantee.
std::string to_text(const v1::GuaranteeBlock& block);

} // namespace celerylift::entry
