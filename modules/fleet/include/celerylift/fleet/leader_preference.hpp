#pragma once

#include <celerylift/time.hpp>

#include <fleet.pb.h>

#include <cstdint>
#include <map>
#include <string>

namespace celerylift::fleet {

using entry_records = std::map<std::string, EntryRecord>; // By name.

/// How much of a cell's decisions an entry can carry: thousandths of a core,
/// or of its link what a core keeps busy, whichever is less.
std::int64_t leader_capacity(const EntryRecord& entry);

/// How many of the registered entries come before one when a cell has no
/// owner: the stronger ones, and of equals those with a lower name.
int claim_rank(const entry_records& entries, const EntryRecord& self);

/// How long an entry leaves a free cell to those that come before it. Answers
/// a cell of many weak entries and a few strong ones, in which the first to
/// claim would otherwise lead whatever it is able to.
duration claim_delay(const entry_records& entries, const EntryRecord& self);

/// Whether an owner should give its cell to a much stronger entry.
bool should_hand_over(const entry_records& entries, const EntryRecord& self);

} // namespace celerylift::fleet
