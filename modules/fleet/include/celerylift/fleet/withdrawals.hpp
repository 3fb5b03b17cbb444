#pragma once

#include <celerylift/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace celerylift::fleet {

/// Marks a job as withdrawn. It is stored in place of the job's cancellation
/// when a caller cancels a job that is not on record: a submission of it may
/// still be on its way to the store, and must not be stored after the caller
/// was told that there is no such job. Submissions expect that there is none.
///
/// Callers of several organisations may have cancelled jobs of that id.
struct withdrawal {
    std::set<std::string> organisations;

    bool operator==(const withdrawal&) const = default;
};

/// The value of a withdrawal in the store.
std::string to_value(const withdrawal& withdrawn);

/// Whether the value of a cancellation is a withdrawal.
bool is_withdrawal(std::string_view value);

/// A withdrawal by nobody, if the value is that of another cancellation.
withdrawal parse_withdrawal(std::string_view value);

/// The store removes withdrawals by their lease. An entry uses a lease for all
/// withdrawals of the first half of its time, so that each of them lasts for
/// the other half at least. A submission is written within 30 s of its call,
/// and its write is carried out within some seconds of that or never.
inline constexpr duration withdrawal_lease_ttl{120'000};
inline constexpr duration min_withdrawal_time{60'000};

/// What one entry may write because of cancellations of unknown jobs. Each
/// costs a write, and an item of the store until its lease ends.
struct withdrawal_rate {
    double per_second = 0;
    double burst = 0;
};

inline constexpr withdrawal_rate entry_withdrawal_rate{20, 200};
inline constexpr withdrawal_rate organisation_withdrawal_rate{10, 100};

/// A token bucket.
struct withdrawal_bucket {
    double tokens = 0;
    time_point filled_at{};
};

/// The withdrawals of one entry.
struct withdrawals {
    std::int64_t lease = 0;
    time_point lease_used_until{};
    bool lease_requested = false;
    std::vector<std::function<void()>> awaiting_lease;
    std::map<std::string, withdrawal_bucket> by_organisation;
    withdrawal_bucket all{entry_withdrawal_rate.burst, {}};
};

/// Counts one withdrawal. Returns false if the entry or the organisation has
/// made too many of late.
bool take_withdrawal(withdrawals& state, const std::string& organisation,
                     time_point now);

} // namespace celerylift::fleet
