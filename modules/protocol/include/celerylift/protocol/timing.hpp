#pragma once

#include <celerylift/time.hpp>

namespace celerylift::protocol {

/// How often the protocol looks at its deadlines.
constexpr duration tick_period{50};

/// The lease that an owner holds on its cell, and how often it is renewed.
constexpr duration owner_lease{3000};
constexpr duration owner_renewal{1000};

/// Heartbeats that an agent may miss before it counts as silent.
constexpr int silent_heartbeats = 4;

/// Time for which a new owner waits for agents that were heard.
constexpr duration collect_limit{3000};

constexpr duration resend_period{300};
constexpr duration reserve_limit{2000};
constexpr duration start_limit{5000};

/// A store call without an answer for this long counts as unavailable.
constexpr duration store_timeout{1000};

/// First and longest pause before a store call is made again.
constexpr duration store_retry_first{100};
constexpr duration store_retry_longest{2000};

/// An agent obeys a command to begin work only where the owner has heard it
/// within this time, and remembers ended work for longer than that. So a
/// command that arrives late or again can't begin work anew.
constexpr duration command_freshness{20'000};
constexpr duration retirement{60'000};

/// Added to a lease before its end is relied on by another process, for
/// clocks that run at slightly different rates.
constexpr duration lease_margin{500};

/// How long outcomes are kept for callers who ask again.
constexpr duration outcome_retention{3'600'000};

/// How long a call of the published schema may wait for an owner.
constexpr duration call_limit{30'000};

} // namespace celerylift::protocol
