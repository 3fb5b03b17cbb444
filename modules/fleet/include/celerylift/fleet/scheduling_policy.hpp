#pragma once

#include <string>
#include <utility>
#include <vector>

namespace celerylift::fleet {

/// The mechanisms by which the owner decides what runs when and where. Each
/// can be switched off by the entry's settings, so that its worth can be
/// measured. Rules that must always hold depend on none of them.
struct scheduling_policy {
    /// Work that can still earn a payoff goes before work that cannot.
    bool order_by_payoff = true;
    /// Batch work keeps off the emptiest rack until it has waited for long.
    bool keep_rack_for_urgent = true;
    /// After a takeover batch work waits for the servers that return.
    bool settle_before_batch = true;
    /// Large gangs that do not fit reserve the capacity that becomes free.
    bool reserve_for_gangs = true;
    /// Work that ends before a reservation is used may run there until then.
    bool backfill = true;
    /// Urgent work may preempt outside its organisation's guarantee.
    bool preempt_beyond_guarantee = true;
    /// What a task has lost to earlier stops makes it more costly to stop.
    bool weigh_earlier_losses = true;
    /// Tasks with few attempts left pause after a failure.
    bool pause_after_failures = true;
    /// Runs are moved away from servers that turn out to be slow.
    bool move_from_slow_servers = true;
    /// Runs are moved away from servers that leave before the runs can end.
    bool evacuate_leaving_servers = true;
    /// Work is placed by the speeds that servers have shown.
    bool use_server_speeds = true;
    /// Urgent gangs keep off servers that have recently restarted or failed.
    bool avoid_risky_servers = true;
    /// Where work waits for room, organisations that hold little of the
    /// scarcest resource go first, then work with little time left.
    /// Off by default: on a service short of memory, callers were served worse
    /// with this and `pack_by_mix`.
    bool share_by_scarcity = false;
    /// Tasks are placed where they cost the least room for other tasks.
    /// Off by default, for the same reason.
    bool pack_by_mix = false;
    /// Jobs that fit no server, or that could only end too late, are refused.
    bool refuse_by_load = true;

    bool operator==(const scheduling_policy&) const = default;
};

/// The mechanisms by the name of their switch in the settings.
const std::vector<std::pair<std::string, bool scheduling_policy::*>>&
policy_switches();

} // namespace celerylift::fleet
