#pragma once

#include <celerylift/time.hpp>

#include <fleet.pb.h>

#include <cstdint>
#include <map>
#include <string>

namespace celerylift::fleet {

using entry_records = std::map<std::string, EntryRecord>; // Keyed by name.

/// How much of the cell's scheduling an entry can do as the leader, in
/// thousandths of a core: its processor share, or the share that keeps its link
/// busy, whichever is less.
std::int64_t leader_capacity(const EntryRecord& entry);

/// How many of the registered entries take precedence when a cell has no owner:
/// those with a higher leader capacity, and of equal ones those with a lower
/// name.
int claim_rank(const entry_records& entries, const EntryRecord& self);

/// How long an entry waits before it claims a cell that has no owner, so that
/// entries with precedence claim first. In a cell of many entries with a low
/// capacity and a few with a high one, the first to claim would otherwise lead,
/// whatever its capacity.
duration claim_delay(const entry_records& entries, const EntryRecord& self);

/// Whether an owner should hand its cell over because another entry has a much
/// higher leader capacity.
bool should_hand_over(const entry_records& entries, const EntryRecord& self);

} // namespace celerylift::fleet
