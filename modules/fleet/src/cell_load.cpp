#include <celerylift/fleet/cell_load.hpp>

#include <celerylift/fleet/jobs.hpp>

#include <algorithm>
#include <bit>
#include <cmath>
#include <vector>

namespace celerylift::fleet {

namespace {

/// Drain times below this delay no job beyond its objective: allowances are
/// longer.
constexpr duration min_material_drain{250};
/// Refusals end at 80 % of the drain time at which they start. Smaller changes
/// lead to no other decision for most jobs.
constexpr double material_change = 0.1;
constexpr double release_factor = 1 / 0.8;

/// A job that takes more than this many times its objective earns no payoff.
constexpr double max_objectives_for_payoff = 3;

/// By how much a job's work may exceed its declared time: 3.5 times for urgent
/// jobs, which are declared for many sizes, and a fifth for others.
constexpr double max_urgent_excess = 3.5;
constexpr double max_batch_excess = 1.2;

/// Longer run times are taken for this, about 30 years: sums of them would
/// exceed an integer.
constexpr duration max_declared{1'000'000'000'000};

constexpr duration min_return{1000};
constexpr duration max_return{60'000};

using member = double resource_amounts::*;
constexpr member members[]{&resource_amounts::millicores,
                           &resource_amounts::memory_mb,
                           &resource_amounts::accelerators};

resource_amounts scaled(const resources& amount, double factor) {
    return {static_cast<double>(amount.millicores) * factor,
            static_cast<double>(amount.memory_mb) * factor,
            static_cast<double>(amount.accelerators) * factor};
}

work_by_time& operator+=(work_by_time& work, const work_by_time& other) {
    for (std::size_t n = 0; n < work.size(); ++n) {
        work[n].need += other[n].need;
        work[n].work += other[n].work;
    }
    return work;
}

/// What the tasks of a bucket and of all later ones use of a resource.
struct usage_after {
    double need = 0;
    double work_before = 0;
};

/// The drain time by one resource. `beyond`, the part of the work within a time
/// that exceeds what the service has in that time, is concave: it is known at
/// each power of two, and between two of them at least what their chord gives.
double drain_by(const work_by_time& work, double total, member resource) {
    usage_after left;
    for (const auto& bucket : work)
        left.need += bucket.need.*resource;
    if (total <= 0 || left.need <= 0)
        return 0;
    double time = 0;
    double beyond = 0;
    for (std::size_t n = 0; n < work.size(); ++n) {
        left.need -= work[n].need.*resource;
        left.work_before += work[n].work.*resource;
        const auto next = std::ldexp(1.0, static_cast<int>(n));
        const auto next_beyond = left.work_before + (left.need - total) * next;
        if (next_beyond < 0)
            return time + (next - time) * beyond / (beyond - next_beyond);
        time = next;
        beyond = next_beyond;
    }
    // All work is counted; only its total remains.
    return left.work_before / total;
}

duration critical_path_time(const Submission& job) {
    std::vector<duration> ends;
    for (const auto& step : job.steps()) {
        duration begin{0};
        for (const int earlier : step.after())
            begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
        ends.push_back(begin +
                       std::min(duration{step.estimate_ms()}, max_declared));
    }
    return ends.empty() ? duration{0} : *std::ranges::max_element(ends);
}

duration scaled(duration time, double factor) {
    return duration{
        static_cast<std::int64_t>(static_cast<double>(time.count()) * factor)};
}

bool has_changed(duration time, duration earlier) {
    const auto change = std::chrono::abs(time - earlier);
    return change >= min_material_drain &&
           change >= scaled(std::max(time, earlier), material_change);
}

bool differs_materially(const service_load& load, const service_load& earlier) {
    if (load.largest_server != earlier.largest_server ||
        load.usable_servers != earlier.usable_servers ||
        load.total != earlier.total)
        return true;
    const auto changed = [&](const auto& drain) {
        return has_changed(drain_of(load, drain.first),
                           drain_of(earlier, drain.first));
    };
    return std::ranges::any_of(load.drain, changed) ||
           std::ranges::any_of(earlier.drain, changed);
}

bool has_backlog(const cell_load& load) {
    return std::ranges::any_of(load.services, [](const auto& service) {
        return std::ranges::any_of(service.second.drain, [](const auto& drain) {
            return drain.second >= min_material_drain;
        });
    });
}

bool is_too_large(const service_load& service, const Submission& job) {
    return service.largest_server != resources{} &&
           std::ranges::any_of(job.steps(), [&](const Step& step) {
               return !fits(need_of(step), service.largest_server);
           });
}

/// Whether the free capacity, all servers taken together, could suffice for a
/// job: for its gangs as a whole, and for as many of its other tasks at a time
/// as have to run to be done within `time`.
bool could_start(const service_load& service, const Submission& job,
                 duration time) {
    return std::ranges::all_of(job.steps(), [&](const Step& step) {
        if (step.after_size() > 0)
            return true;
        const auto rounds =
            step.gang()
                ? 1
                : std::max<std::int64_t>(1, time.count() / step.estimate_ms());
        const auto at_once = (step.count() + rounds - 1) / rounds;
        const auto needed = scaled(need_of(step), static_cast<double>(at_once));
        const auto free = scaled(service.free, 1);
        return std::ranges::all_of(members, [&](member resource) {
            return needed.*resource <= free.*resource;
        });
    });
}

duration refused_below(const known_load& known, const std::string& service,
                       int priority) {
    const auto& boundaries = known.refused_below;
    const auto after = boundaries.upper_bound({service, priority});
    if (after == boundaries.begin())
        return duration{0};
    const auto& [key, time] = *std::prev(after);
    return key.first == service ? time : duration{0};
}

} // namespace

resource_amounts& resource_amounts::operator+=(const resource_amounts& other) {
    millicores += other.millicores;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
}

void add_tasks(work_by_time& work, const resources& each, std::int64_t count,
               duration run_time) {
    if (count <= 0 || run_time <= duration{0})
        return;
    const auto ms = static_cast<std::uint64_t>(run_time.count());
    auto& bucket = work[std::min(static_cast<std::size_t>(std::bit_width(ms)),
                                 work.size() - 1)];
    bucket.need += scaled(each, static_cast<double>(count));
    bucket.work +=
        scaled(each, static_cast<double>(count) * static_cast<double>(ms));
}

duration drain_time(const work_by_time& work, const resources& total) {
    const auto capacity = scaled(total, 1);
    double longest = 0;
    for (const auto resource : members)
        longest =
            std::max(longest, drain_by(work, capacity.*resource, resource));
    return duration{static_cast<std::int64_t>(longest)};
}

cell_load make_load(const cell_sums& sums) {
    cell_load load;
    for (const auto& [name, sum] : sums) {
        auto& service = load.services[name];
        service = {
            sum.largest_server, sum.usable_servers, sum.total, sum.free, {}};
        auto capacity = sum.total;
        capacity += sum.returning;
        work_by_time before{};
        for (const auto& [priority, work] : sum.work) {
            before += work.in_time;
            service.drain[priority] = drain_time(before, capacity);
            before += work.late;
        }
    }
    return load;
}

CellLoad to_record(const cell_load& load) {
    CellLoad record;
    record.set_epoch(load.epoch);
    record.set_sequence(load.sequence);
    for (const auto& [name, service] : load.services) {
        auto* out = record.add_services();
        out->set_service(name);
        to_record(service.largest_server, out->mutable_largest_server());
        out->set_usable_servers(service.usable_servers);
        to_record(service.total, out->mutable_total());
        to_record(service.free, out->mutable_free());
        for (const auto& [priority, drain] : service.drain) {
            auto* backlog = out->add_backlog();
            backlog->set_priority(priority);
            backlog->set_drain_ms(drain.count());
        }
    }
    return record;
}

cell_load from_record(const CellLoad& record) {
    cell_load load{record.epoch(), record.sequence(), {}};
    for (const auto& in : record.services()) {
        auto& service = load.services[in.service()];
        service = {from_record(in.largest_server()),
                   in.usable_servers(),
                   from_record(in.total()),
                   from_record(in.free()),
                   {}};
        for (const auto& backlog : in.backlog())
            service.drain[backlog.priority()] =
                duration{std::max<std::int64_t>(0, backlog.drain_ms())};
    }
    return load;
}

bool differs_materially(const cell_load& load, const cell_load& earlier) {
    return !std::ranges::equal(load.services, earlier.services,
                               [](const auto& service, const auto& before) {
                                   return service.first == before.first &&
                                          !differs_materially(service.second,
                                                              before.second);
                               });
}

duration drain_of(const service_load& load, int priority) {
    const auto after = load.drain.upper_bound(priority);
    return after == load.drain.begin() ? duration{0} : std::prev(after)->second;
}

bool is_due(const cell_load& load, const std::optional<cell_load>& published,
            duration since_published) {
    if (!published || differs_materially(load, *published))
        return true;
    return since_published >=
           (has_backlog(load) ? backlog_resend_period : load_resend_period);
}

bool apply_load(std::optional<known_load>& known, cell_load load,
                time_point now) {
    if (known && std::pair{load.epoch, load.sequence} <=
                     std::pair{known->load.epoch, known->load.sequence})
        return false;
    known_load next{std::move(load), now, {}};
    for (const auto& [name, service] : next.load.services)
        for (const auto& [priority, drain] : service.drain) {
            const auto before =
                known ? refused_below(*known, name, priority) : duration{0};
            next.refused_below[{name, priority}] =
                std::clamp(before, drain, scaled(drain, release_factor));
        }
    known = std::move(next);
    return true;
}

duration longest_run_time(duration declared, int priority) {
    return scaled(std::min(declared, max_declared),
                  priority == 0 ? max_urgent_excess : max_batch_excess);
}

std::optional<duration> max_wait(const Submission& job,
                                 const queue_config& queue) {
    const bool is_open_ended =
        job.occurrences() > 0 ||
        std::ranges::any_of(job.steps(), [](const Step& step) {
            return step.lasting() || step.filling() || step.estimate_ms() <= 0;
        });
    if (is_open_ended)
        return std::nullopt;
    const auto declared = critical_path_time(job);
    const auto work = longest_run_time(declared, queue.priority);
    const auto objective = scaled(work, queue.stretch) + queue.allowance;
    return std::max(duration{0},
                    scaled(objective, max_objectives_for_payoff) - declared);
}

std::optional<load_refusal>
refuse_by_load(const std::optional<known_load>& known, const Submission& job,
               const queue_config& queue, bool has_large_share,
               time_point now) {
    if (!known || now > known->received_at + max_capacity_age)
        return std::nullopt;
    const auto found = known->load.services.find(queue.service);
    if (found == known->load.services.end())
        return std::nullopt;
    const auto& service = found->second;
    if (is_too_large(service, job))
        return load_refusal{true, duration{0}, duration{0}, max_return};
    const auto longest_wait = max_wait(job, queue);
    if (!longest_wait || !has_large_share ||
        now > known->received_at + max_backlog_age ||
        *longest_wait >= refused_below(*known, queue.service, queue.priority) ||
        could_start(service, job, *longest_wait))
        return std::nullopt;
    const auto drain = drain_of(service, queue.priority);
    return load_refusal{
        false, drain, *longest_wait,
        std::clamp(drain - *longest_wait, min_return, max_return)};
}

} // namespace celerylift::fleet
