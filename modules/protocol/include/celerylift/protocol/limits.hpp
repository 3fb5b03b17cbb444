#pragma once

#include <cstddef>

namespace celerylift::protocol {

constexpr std::size_t longest_job_id = 127;
constexpr std::size_t longest_name = 63;
constexpr std::size_t largest_payload_bytes = 65'536;
constexpr std::size_t largest_answer_bytes = 65'536;
constexpr std::size_t longest_request_id = 127;
constexpr int most_organisations = 1000;
constexpr int most_members = 128;
constexpr int most_guarantee_entries = 64;
constexpr int most_guaranteed_gangs = 1024;
constexpr int most_queued_calls = 2000;

/// Jobs that are admitted to memory only while the store is down.
constexpr int most_volatile_jobs = 500;

/// Pages over which the job records of a cell are spread.
constexpr int pages_per_cell = 32;

/// A page of this size accepts no further jobs. The store limits a value to
/// one megabyte.
constexpr std::size_t full_page_bytes = 768UL * 1024;

} // namespace celerylift::protocol
