#pragma once

#include <cstddef>

namespace celerylift::protocol {

constexpr std::size_t max_job_id_length = 127;
constexpr std::size_t max_name_length = 63;
constexpr std::size_t max_payload_bytes = 65'536;
constexpr std::size_t max_answer_bytes = 65'536;
constexpr std::size_t max_request_id_length = 127;
constexpr int max_organisations = 1000;
constexpr int max_members = 128;
constexpr int max_guarantee_entries = 64;
constexpr int max_guaranteed_gangs = 1024;
constexpr int max_queued_calls = 2000;

/// Jobs that are admitted to memory only while the store is down.
constexpr int max_volatile_jobs = 500;

/// Pages over which the job records of a cell are spread.
constexpr int pages_per_cell = 32;

/// A page of this size accepts no further jobs. The store limits a value to
/// one megabyte.
constexpr std::size_t max_open_page_bytes = 768UL * 1024;

} // namespace celerylift::protocol
