#pragma once

#include <celerylift/fleet/agent.hpp>

#include <optional>

namespace celerylift::fleet {

void send_report(agent& a);

/// Sends what can be sent to the server now.
void advance(agent& a);
void advance_orders(agent& a);

/// Compares the orders with a list of runs that was asked for at `sent`.
void settle_orders(agent& a, time_point sent);

/// The end of the owner's grant on the server's clock, or nothing where there
/// is no grant or the clock is not known.
std::optional<std::int64_t> deadline_on_server(const agent& a);

/// Remembers how long runs may go on with a lease that is being sent.
void note_lease(agent& a);

void take_clock(agent& a, const std::optional<std::int64_t>& clock_ms);

} // namespace celerylift::fleet
