#pragma once

#include <celerylift/fleet/agent.hpp>

#include <optional>

namespace celerylift::fleet {

void send_report(agent& self);

/// Sends what can be sent to the server now.
void send_due_calls(agent& self);
void advance_orders(agent& self);

/// Compares the orders with a list of runs that was asked for at `sent`.
void reconcile_orders(agent& self, time_point requested_at);

/// The end of the owner's grant on the server's clock, or nothing where there
/// is no grant or the clock is not known.
std::optional<std::int64_t> deadline_on_server(const agent& self);

/// Remembers how long runs may go on with a lease that is being sent.
void record_run_lease(agent& self);

void update_clock(agent& self, const std::optional<std::int64_t>& clock_ms);

} // namespace celerylift::fleet
