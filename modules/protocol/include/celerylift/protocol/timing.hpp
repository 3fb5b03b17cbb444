#pragma once

#include <celerylift/time.hpp>

namespace celerylift::protocol {

/// Period at which the protocol checks its deadlines.
constexpr duration tick_period{50};

/// Duration of an owner's lease on its cell, and the renewal period.
constexpr duration owner_lease{3000};
constexpr duration owner_renewal_period{1000};

/// Heartbeat periods without a heartbeat after which an agent counts as
/// unresponsive.
constexpr int max_missed_heartbeats = 4;

/// Longest time for which a new owner waits for the reports of the agents that
/// have sent it a heartbeat.
constexpr duration collect_timeout{3000};

constexpr duration resend_period{300};
constexpr duration reserve_timeout{2000};
constexpr duration start_timeout{5000};

/// A store call that has no reply after this time counts as unavailable.
constexpr duration store_timeout{1000};

/// Initial and maximum backoff before a store call is retried.
constexpr duration min_store_backoff{100};
constexpr duration max_store_backoff{2000};

/// An agent executes a command that begins work only if the command refers to
/// a heartbeat sent within this time. The agent remembers ended work for longer
/// (`ended_work_retention`), so a delayed or duplicated command cannot start
/// work again.
constexpr duration max_command_age{20'000};
constexpr duration ended_work_retention{60'000};

/// Added to a lease before another process relies on its expiry, because
/// clocks run at slightly different rates.
constexpr duration lease_margin{500};

/// How long the outcomes of ended jobs are kept for callers.
constexpr duration outcome_retention{3'600'000};

/// Maximum time that a call of the public API may wait for an owner.
constexpr duration max_call_wait{30'000};

} // namespace celerylift::protocol
