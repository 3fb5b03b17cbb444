#pragma once

#include <celerylift/fleet/agent.hpp>

#include <optional>

namespace celerylift::fleet {

void send_report(agent& self);

/// Updates the keys of the runs in the two lists after these have changed.
void index_run_lists(agent& self);

/// Sends the polls, starts and stops that are due.
void send_due_calls(agent& self);
void advance_orders(agent& self);

/// Compares the orders with a list of runs that was requested at
/// `requested_at`. A run whose phase began after that time may be missing from
/// the list.
void reconcile_orders(agent& self, time_point requested_at);

/// The end of the owner's grant on the server's clock, or nothing where there
/// is no valid grant or the server's clock is not known.
std::optional<std::int64_t> deadline_on_server(const agent& self);

/// Updates the time by which the server ends its runs, for a lease that is
/// about to be sent.
void record_run_lease(agent& self);

/// Keeps what may have been active on the server that is followed, if it has
/// ended without notice. Called before the next incarnation is followed.
void record_crash(agent& self);

/// Removes the crashes that the owner has recorded.
void forget_recorded_crashes(agent& self, const OwnerOrders& orders);

void update_clock(agent& self, const std::optional<std::int64_t>& clock_ms);

} // namespace celerylift::fleet
