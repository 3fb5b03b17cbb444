#include "owner_internal.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <tuple>

namespace celerylift::fleet {

namespace {

/// After a take-over the agents report within some tens of milliseconds; gangs
/// that are placed before would get the servers that came first.
constexpr duration shortest_settling_time{50};
constexpr duration longest_settling_time{800};

/// A gang that is spread over racks runs about three times as long. It waits
/// for one rack as long as it would lose by that, and no longer than this.
constexpr int spread_factor = 3;
constexpr duration longest_rack_wait{12'000};

/// Patient work leaves the emptiest rack free for this share of the time that
/// its tasks usually run. Its objective is several times that, and urgent work
/// that finds room needs no stop, which alone may cost it its objective.
constexpr int patience_percent = 60;

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

/// Whether a step has tasks that can be placed now; a gang only as a whole.
bool can_be_placed(const job& j, const occurrence& at, int step) {
    const auto& tasks = at.steps[static_cast<std::size_t>(step)].tasks;
    const auto waits = [](const task& t) {
        return t.phase == task_phase::waiting;
    };
    const bool some = j.submission.steps(step).gang()
                          ? std::ranges::all_of(tasks, waits)
                          : std::ranges::any_of(tasks, waits);
    return some && is_ready(j, at, step);
}

std::vector<waiting_unit> waiting_units(const owner& o) {
    std::vector<waiting_unit> units;
    for (const auto& [id, j] : o.jobs) {
        if (is_over(j.state) || j.cancelled || !queue_of(o, j))
            continue;
        for (std::size_t at = 0; at < j.occurrences.size(); ++at)
            for (int s = 0; s < j.submission.steps_size(); ++s)
                if (can_be_placed(j, j.occurrences[at], s)) {
                    const auto earns = payoff_of(o, j, j.occurrences[at]);
                    units.push_back({earns == payoff::none, priority_of(o, j),
                                     earns != payoff::in_full,
                                     j.submission.submitted_unix_ms(), id, at,
                                     s});
                }
    }
    std::ranges::sort(units);
    return units;
}

void assign(owner& o, job& j, task& t, server& s, int run) {
    t.phase = task_phase::assigned;
    t.run = run;
    t.agent = s.agent;
    t.incarnation = s.state.incarnation();
    t.assigned_at = o.run.now();
    t.from_scratch = t.checkpoint.empty();
    t.resolved = false;
    t.stopping = false;
    t.seen_running = false;
    t.percent = 0;
    s.assigned.insert(t.name);
    o.changed_agents.insert(s.agent);
    touch(j);
    t.assigned_in = j.version;
    j.begun = true;
    if (j.state == JOB_PENDING)
        j.state = JOB_RUNNING;
    o.run.journal.event(
        "task_assigned",
        {{"task", to_string(t.name)},
         {"run", run},
         {"agent", s.agent},
         {"waited_ms", (t.assigned_at - t.waiting_since).count()}});
    o.run.metrics.count("tasks_assigned_total");
}

placement_request request_for(const owner& o, const job& j,
                              const occurrence& at, int step) {
    const auto& spec = j.submission.steps(step);
    placement_request request;
    request.service = queue_of(o, j)->service;
    request.each = need_of(spec);
    request.required_label = spec.required_label();
    request.preferred_rack = spec.affinity_rack();
    request.most_per_server = spec.anti_affinity();
    request.same_rack = spec.gang() && spec.same_rack();
    std::map<std::string, int> running;
    for (const auto& t : at.steps[static_cast<std::size_t>(step)].tasks)
        if (t.phase == task_phase::assigned)
            ++running[t.agent];
    request.running.assign(running.begin(), running.end());
    return request;
}

bool is_for(const reservation& r, const waiting_unit& unit) {
    return r.job == unit.job && r.step == unit.step &&
           r.occurrence == static_cast<int>(unit.occurrence);
}

/// Keeps reserved room from all but the unit that it is kept for, those that
/// go first, and those that will have ended before it is used.
void withhold_reserved(std::vector<room>& rooms, const owner& o,
                       const waiting_unit& unit) {
    const auto end = o.run.now() + usual_run(o, o.jobs.at(unit.job), unit.step);
    for (const auto& r : o.reservations) {
        if (is_for(r, unit) || unit.priority < r.priority || end < r.ready_at)
            continue;
        for (const auto& agent : r.agents)
            for (auto& at : rooms)
                if (at.agent == agent)
                    at.free -= r.each;
    }
}

void end_reservation(owner& o, const waiting_unit& unit) {
    std::erase_if(o.reservations,
                  [&](const reservation& r) { return is_for(r, unit); });
}

bool has_reservation(const owner& o, const waiting_unit& unit) {
    return std::ranges::any_of(
        o.reservations, [&](const reservation& r) { return is_for(r, unit); });
}

duration waited(const owner& o, const task& t) {
    return o.run.now() - t.waiting_since;
}

/// Relaxes a wish for one rack where it can't be met or has waited enough.
void relax_rack(const owner& o, const job& j, const waiting_unit& unit,
                const std::vector<room>& rooms, const task& first,
                placement_request& request) {
    const auto lost = usual_run(o, j, unit.step) * (spread_factor - 1);
    if (request.same_rack &&
        (waited(o, first) > std::min<duration>(lost, longest_rack_wait) ||
         !could_fit(rooms, request)))
        request.same_rack = false;
}

/// A job doesn't spend its last attempt where it failed before, but waits for
/// another server; unless even an idle fleet has no other.
void relax_avoidance(const owner& o, placement_request& request) {
    if (request.avoid.empty())
        return;
    auto one = request;
    one.count = 1;
    if (!could_fit(usable_rooms(o), request.same_rack ? request : one))
        request.avoid.clear();
}

/// The rack with the most free accelerators.
std::string emptiest_rack(const std::vector<room>& rooms) {
    std::map<std::string, std::int64_t> free;
    for (const auto& r : rooms)
        free[r.rack] += r.free.accelerators;
    const auto most = std::ranges::max_element(
        free, {}, [](const auto& rack) { return rack.second; });
    return most == free.end() ? "" : most->first;
}

bool has_been_patient(const owner& o, const job& j, const waiting_unit& unit,
                      const task& first) {
    return waited(o, first) >
           usual_run(o, j, unit.step) * patience_percent / 100;
}

/// Keeps the emptiest rack for urgent work while patient work can wait.
void withhold_for_urgent(const owner& o, const job& j, const waiting_unit& unit,
                         const task& first, std::vector<room>& rooms) {
    if (unit.priority == 0 || has_been_patient(o, j, unit, first))
        return;
    const auto kept = emptiest_rack(rooms);
    std::erase_if(rooms, [&](const room& r) { return r.rack == kept; });
}

/// For a gang that doesn't fit now.
void make_room(owner& o, const waiting_unit& unit, job& j,
               const placement_request& request,
               const std::vector<room>& rooms) {
    const auto& at = j.occurrences[unit.occurrence];
    const auto& first =
        at.steps[static_cast<std::size_t>(unit.step)].tasks.front();
    if (has_reservation(o, unit) || reclaim(o, j, at, unit.step, request))
        return;
    if (!unit.worthless && has_been_patient(o, j, unit, first))
        reserve_ahead(o, j, at, unit.step, rooms, request);
}

void place_gang(owner& o, job& j, const waiting_unit& unit) {
    auto& at = j.occurrences[unit.occurrence];
    auto& tasks = at.steps[static_cast<std::size_t>(unit.step)].tasks;
    auto request = request_for(o, j, at, unit.step);
    request.count = static_cast<int>(tasks.size());
    int run = 0;
    for (const auto& t : tasks) {
        run = std::max(run, t.run);
        if (!t.avoid_agent.empty())
            request.avoid.insert(t.avoid_agent);
    }
    auto rooms = usable_rooms(o);
    relax_rack(o, j, unit, rooms, tasks.front(), request);
    withhold_reserved(rooms, o, unit);
    relax_avoidance(o, request);
    withhold_for_urgent(o, j, unit, tasks.front(), rooms);
    const auto chosen = place(rooms, request);
    if (chosen.empty())
        return make_room(o, unit, j, request, rooms);
    end_reservation(o, unit);
    for (std::size_t i = 0; i < tasks.size(); ++i)
        assign(o, j, tasks[i], o.servers.at(rooms[chosen[i]].agent), run + 1);
}

void place_singles(owner& o, job& j, const waiting_unit& unit) {
    auto& at = j.occurrences[unit.occurrence];
    auto& tasks = at.steps[static_cast<std::size_t>(unit.step)].tasks;
    auto rooms = usable_rooms(o);
    withhold_reserved(rooms, o, unit);
    const auto first =
        std::ranges::find(tasks, task_phase::waiting, &task::phase);
    withhold_for_urgent(o, j, unit, *first, rooms);
    auto request = request_for(o, j, at, unit.step);
    int left = 0;
    for (auto& t : tasks) {
        if (t.phase != task_phase::waiting)
            continue;
        request.avoid.clear();
        if (!t.avoid_agent.empty())
            request.avoid.insert(t.avoid_agent);
        relax_avoidance(o, request);
        const auto chosen = place(rooms, request);
        if (chosen.empty()) {
            ++left;
            continue;
        }
        const auto& agent = rooms[chosen.front()].agent;
        assign(o, j, t, o.servers.at(agent), t.run + 1);
        request = request_for(o, j, at, unit.step);
    }
    if (left == 0)
        return end_reservation(o, unit);
    request.avoid.clear();
    request.count = left;
    if (!has_reservation(o, unit))
        reclaim(o, j, at, unit.step, request);
}

} // namespace

duration usual_run(const owner& o, const job& j, int step) {
    const auto it = o.learned_runs.find(j.submission.queue());
    return it != o.learned_runs.end()
               ? it->second.usual
               : duration{j.submission.steps(step).estimate_ms()};
}

duration longest_run(const owner& o, const job& j, int step) {
    const duration declared{j.submission.steps(step).estimate_ms()};
    const auto it = o.learned_runs.find(j.submission.queue());
    return it != o.learned_runs.end() ? std::max(declared, it->second.longest)
                                      : declared;
}

std::vector<room> usable_rooms(const owner& o) {
    std::vector<room> rooms;
    const auto now = o.run.now();
    for (const auto& [agent, s] : o.servers) {
        if (!s.heard || s.state.incarnation().empty() || s.state.draining() ||
            s.state.departed() || now > s.heard_at + usable_silence)
            continue;
        room r;
        r.agent = agent;
        r.rack = s.state.rack();
        r.labels.assign(s.state.labels().begin(), s.state.labels().end());
        r.service = s.state.service();
        r.capacity = from_record(s.state.capacity());
        r.free = r.capacity;
        r.trust = now < s.distrusted_until ? 0.0 : 1.0;
        bool known = true;
        std::set<task_name> counted;
        for (const auto& name : s.assigned) {
            const auto& j = o.jobs.at(name.job);
            const auto* t = find_task(j, name);
            if (!t || t->resolved)
                continue;
            counted.insert(name);
            r.free -= need_of(step_of(j, name));
        }
        // What runs there against the record still takes room.
        for (const auto& running : s.running) {
            const auto name = parse_task_name(running.name().task());
            const auto it = name ? o.jobs.find(name->job) : o.jobs.end();
            if (it == o.jobs.end() ||
                name->step >= it->second.submission.steps_size()) {
                known = false;
                break;
            }
            if (counted.insert(*name).second)
                r.free -= need_of(step_of(it->second, *name));
        }
        if (known)
            rooms.push_back(std::move(r));
    }
    return rooms;
}

void schedule(owner& o) {
    if (o.run.now() < o.active_since + shortest_settling_time)
        return;
    if (!o.expected_agents.empty() &&
        o.run.now() < o.active_since + longest_settling_time)
        return;
    std::erase_if(o.reservations, [&](const reservation& r) {
        return o.run.now() > r.expires || !o.jobs.contains(r.job) ||
               is_over(o.jobs.at(r.job).state);
    });
    for (const auto& unit : waiting_units(o)) {
        auto& j = o.jobs.at(unit.job);
        if (j.submission.steps(unit.step).gang())
            place_gang(o, j, unit);
        else
            place_singles(o, j, unit);
    }
}

} // namespace celerylift::fleet
