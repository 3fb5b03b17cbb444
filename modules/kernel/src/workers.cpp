#include <celerylift/kernel/workers.hpp>

#include <celerylift/kernel/guarantees.hpp>

#include <algorithm>
#include <cassert>

namespace celerylift::kernel {

bool accepts_gangs(const worker_state& w) {
    return w.usable && !w.draining && !w.quarantined_until;
}

int available(const cell_state& cell, int w) {
    const auto& s = cell.workers[w];
    if (!accepts_gangs(s))
        return 0;
    return std::max(0, s.spec.accelerators - s.used - s.held);
}

int available_outside_guarantees(const cell_state& cell, int w) {
    const auto& s = cell.workers[w];
    return std::max(0, std::min(available(cell, w),
                                s.spec.accelerators - s.homed - s.pinned));
}

namespace {

void update_member_counts(unit_state& unit, int before, int after) {
    for (int k = 1; k <= max_accelerators_per_worker; ++k)
        unit.fitting_members[k] += after / k - before / k;
}

/// Applies `change` to a worker and updates the summaries of its units if its
/// available accelerators changed.
template <class Change>
void change_worker(cell_state& cell, int w, Change change) {
    auto& s = cell.workers[w];
    const int before = available(cell, w);
    change(s);
    const int after = available(cell, w);
    if (before == after)
        return;
    update_member_counts(cell.racks[s.rack], before, after);
    update_member_counts(cell.domains[s.domain], before, after);
    update_member_counts(cell.whole_cell, before, after);
    if (after > before)
        ++cell.capacity_version;
}

int find_or_add_unit(std::vector<unit_state>& units,
                     std::map<std::string, int>& index,
                     const std::string& name) {
    auto [it, added] = index.emplace(name, static_cast<int>(units.size()));
    if (added) {
        units.emplace_back();
        units.back().name = name;
    }
    return it->second;
}

} // namespace

int add_worker(cell_state& cell, const worker& spec) {
    assert(spec.accelerators <= max_accelerators_per_worker);
    if (auto it = cell.worker_index.find(spec.id);
        it != cell.worker_index.end()) {
        set_worker_usable(cell, spec.id, true);
        return it->second;
    }
    const int w = static_cast<int>(cell.workers.size());
    worker_state s;
    s.spec = spec;
    s.rack = find_or_add_unit(cell.racks, cell.rack_index,
                              spec.failure_domain + "/" + spec.rack);
    s.domain =
        find_or_add_unit(cell.domains, cell.domain_index, spec.failure_domain);
    s.usable = false;
    cell.racks[s.rack].workers.push_back(w);
    cell.domains[s.domain].workers.push_back(w);
    cell.whole_cell.workers.push_back(w);
    cell.workers.push_back(std::move(s));
    cell.worker_index.emplace(spec.id, w);
    set_worker_usable(cell, spec.id, true);
    return w;
}

void set_worker_usable(cell_state& cell, const std::string& id, bool usable) {
    auto it = cell.worker_index.find(id);
    if (it == cell.worker_index.end() ||
        cell.workers[it->second].usable == usable)
        return;
    change_worker(cell, it->second,
                  [&](worker_state& s) { s.usable = usable; });
    if (usable)
        rebind_lost_shares(cell);
    else
        unbind_homes_on(cell, it->second);
}

void set_worker_draining(cell_state& cell, const std::string& id,
                         bool draining) {
    auto it = cell.worker_index.find(id);
    if (it == cell.worker_index.end() ||
        cell.workers[it->second].draining == draining)
        return;
    change_worker(cell, it->second,
                  [&](worker_state& s) { s.draining = draining; });
    if (draining)
        unbind_homes_on(cell, it->second);
    else
        rebind_lost_shares(cell);
}

void change_usage(cell_state& cell, int w, int used, int held) {
    change_worker(cell, w, [&](worker_state& s) {
        s.used += used;
        s.held += held;
        assert(s.used >= 0 && s.held >= 0);
        assert(s.used <= s.spec.accelerators);
    });
}

namespace {

void discount_job_failures(cell_state& cell, const std::string& job) {
    for (int w : cell.job_failures[job]) {
        auto& s = cell.workers[w];
        if (s.failed_jobs.erase(job) == 0 || s.failures == 0)
            continue;
        --s.failures;
    }
}

void start_quarantine(cell_state& cell, int w, time_point now) {
    change_worker(cell, w, [&](worker_state& s) {
        s.quarantine_length =
            s.quarantine_length.count() == 0
                ? first_quarantine
                : std::min(max_quarantine, s.quarantine_length * 2);
        s.quarantined_until = now + s.quarantine_length;
    });
    unbind_homes_on(cell, w);
}

} // namespace

bool record_task(cell_state& cell, int w, const std::string& job,
                 bool succeeded, time_point now) {
    auto& s = cell.workers[w];
    if (succeeded) {
        s.failures = 0;
        s.failed_jobs.clear();
        s.quarantine_length = duration{0};
        ++s.successes;
        return false;
    }
    auto& failures = cell.job_failures[job];
    failures.insert(w);
    int healthy_workers = 0;
    for (int f : failures)
        healthy_workers += cell.workers[f].quarantined_until ? 0 : 1;
    if (s.failed_jobs.insert(job).second)
        ++s.failures;
    if (healthy_workers > max_blamed_workers_per_job) {
        discount_job_failures(cell, job);
        return false;
    }
    if (s.failures < quarantine_failures || s.quarantined_until)
        return false;
    start_quarantine(cell, w, now);
    return true;
}

void end_quarantines(cell_state& cell, time_point now) {
    bool any = false;
    for (int w = 0; w < static_cast<int>(cell.workers.size()); ++w) {
        auto& until = cell.workers[w].quarantined_until;
        if (!until || *until > now)
            continue;
        any = true;
        change_worker(cell, w, [](worker_state& s) {
            s.quarantined_until.reset();
            s.failures = quarantine_failures - 1;
            s.failed_jobs.clear();
        });
    }
    if (any)
        rebind_lost_shares(cell);
}

} // namespace celerylift::kernel
