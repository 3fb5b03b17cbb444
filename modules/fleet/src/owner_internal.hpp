#pragma once

#include <celerylift/fleet/owner.hpp>

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace celerylift::fleet {

/// How long an agent may go on without hearing from the owner. Shorter than
/// the longest lease that backend servers take, longer than a take-over.
inline constexpr duration agent_grant{5000};

/// A backend server that has been silent for this long gets no new work.
inline constexpr duration usable_silence{1600};

/// When what was granted at `from` has ended for certain: the servers' clocks
/// may be 2% slow, and a killed task takes a moment to be gone.
time_point end_of_grant(time_point from);

/// Marks a job as changed, so that it is written.
void touch(owner& o, job& j);

/// What runs on a server has changed.
void mark_room(owner& o, const std::string& agent);

/// Forgets all that was known under the last epoch.
void clear_state(owner& o);

/// Applies one end of a run. A stale one changes nothing.
void apply_end(owner& o, server& s, const EndedTask& end);

/// A run can't be there any more: its task waits again.
void lose_run(owner& o, task& t, const char* why);

/// Orders the end of a run, and of its whole gang.
void stop_run(owner& o, job& j, task& t, const char* why);
void stop_all_runs(owner& o, job& j, const char* why);

/// Everything assigned to a server, to its current or an earlier life.
void lose_server(owner& o, server& s, const char* why);

void update_state(owner& o, job& j);

/// Takes over what a server lists as running, and leaves servers on which
/// tasks stand still or are slow.
void take_running(owner& o, server& s, const AgentReport& report);

/// How long a task of a job is expected to run.
duration usual_run(const owner& o, const job& j, int step);

/// The longest that it is expected to run. Declared times are off either way,
/// and nothing must be given up by one that is too short.
duration longest_run(const owner& o, const job& j, int step);

/// How much longer a task needs, in milliseconds.
double time_left(const owner& o, const server& s, const job& j, const task& t);

void schedule(owner& o);
void write_changes(owner& o);
void send_orders(owner& o);
void update_noted_ends(owner& o, server& s);

const queue_config* queue_of(const owner& o, const job& j);
int priority_of(const owner& o, const job& j);
/// The step that a task of the job belongs to.
step_run& step_run_of(job& j, const task_name& name);
const step_run& step_run_of(const job& j, const task_name& name);

/// What a job can still earn if it is started now: inside its objective, up to
/// three times that, or nothing. Answers the time after an outage or a burst,
/// when work that has become late would keep the room from work that can still
/// be in time, and make that late as well.
enum class payoff { in_full, in_part, none };
payoff payoff_of(const owner& o, const job& j, const occurrence& at);

/// Tasks of one step that wait to be placed.
struct waiting_unit {
    bool worthless = false;
    int priority = 0;
    bool late = false;
    std::int64_t submitted = 0;
    std::string job;
    std::size_t occurrence = 0;
    int step = 0;

    auto operator<=>(const waiting_unit&) const = default;
};

/// A request that found no room. No larger one of its kind finds any in the
/// same pass: room only shrinks while work is placed.
struct failed_request {
    std::string queue;
    bool patient = false;
    placement_request request;
};

/// A task that could give way, and what its stop throws away.
struct victim {
    task_name name;
    resources frees;
    double lost_core_seconds = 0;
};

/// One pass over the work that waits. What it looks at is gathered once, so
/// that its cost follows what is waiting, and not that times the fleet.
struct schedule_pass {
    std::vector<candidate_server> rooms;
    std::vector<server*> servers; // Of each room.
    std::unordered_map<std::string_view, std::size_t> index;
    std::vector<failed_request> failed;
    std::vector<placement_request> unreclaimed;
    /// By room: what could give way to the most urgent work, the cheapest
    /// first, and what is stopping already. Empty until it is asked for.
    std::vector<std::vector<victim>> victims;
    std::vector<resources> soon_free;
    /// Accelerators that urgent work uses, by organisation.
    std::optional<std::map<std::string, std::int64_t>> urgent_use;
    /// How many more plans may be made to keep room. What has none by then
    /// waits for another pass.
    int plans_left = 8;
};

/// Servers that can be given work, with what is free on them.
schedule_pass begin_pass(owner& o);

/// Gives the tasks of a unit servers, or makes or keeps room for them.
void place_unit(owner& o, schedule_pass& p, const waiting_unit& unit);

/// Takes room from tasks of lower priority for a job inside its
/// organisation's guarantee. Returns whether room has been reserved.
/// Outside a guarantee, only work that can still be in time takes any.
bool reclaim(owner& o, schedule_pass& p, job& j, const occurrence& at, int step,
             const placement_request& request);

/// Keeps the room that will be free soonest for work that has waited for long
/// and needs much of it at once. Answers a full fleet on which smaller work
/// takes each bit of room as it becomes free, so that large gangs never start.
/// Work that goes first, or that will have ended by then, may use the room.
void reserve_ahead(owner& o, schedule_pass& p, const job& j,
                   const occurrence& at, int step,
                   const std::vector<candidate_server>& rooms,
                   const placement_request& request);

/// Takes the room of a reservation away from `rooms`.
void withhold(const schedule_pass& p, const reservation& r,
              std::vector<candidate_server>& rooms);

/// Whether one request asks for at least as much as another, and is bound in
/// the same way, so that it can't be met where the other can't.
bool asks_for_more(const placement_request& more,
                   const placement_request& less);

} // namespace celerylift::fleet
