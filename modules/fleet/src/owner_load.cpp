#include "owner_internal.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace celerylift::fleet {

namespace {

/// Servers that restart report again within this time, or are gone.
constexpr duration server_return_time{10'000};

/// Whether the servers are known. After a takeover few have reported, and
/// little capacity would be taken for an overload.
bool knows_servers(const owner& self) {
    return self.run.now() > self.active_since + server_return_time ||
           (self.expected_agents.empty() &&
            std::ranges::none_of(self.servers, [](const auto& entry) {
                return entry.second.state.incarnation().empty();
            }));
}

bool is_returning(const owner& self, const server& server) {
    return !server.state.draining() && !server.state.departed() &&
           self.run.now() <= server.last_report_at + server_return_time;
}

resources largest_of(const resources& a, const resources& b) {
    return {std::max(a.millicores, b.millicores),
            std::max(a.memory_mb, b.memory_mb),
            std::max(a.accelerators, b.accelerators)};
}

/// Adds the capacity of the servers. One that has left may return, so that the
/// largest server is the largest that this owner has seen.
void add_servers(const owner& self, const schedule_pass& pass,
                 cell_sums& sums) {
    for (const auto& candidate : pass.candidates) {
        auto& service = sums[std::string(candidate.service)];
        ++service.usable_servers;
        service.total += candidate.capacity;
        service.free += candidate.free;
    }
    for (const auto& [agent, server] : self.servers) {
        const auto found = sums.find(server.state.service());
        if (found == sums.end())
            continue;
        auto& service = found->second;
        const auto capacity = from_record(server.state.capacity());
        service.largest_server = largest_of(service.largest_server, capacity);
        if (!pass.index.contains(agent) && is_returning(self, server))
            service.returning += capacity;
    }
}

/// Whether some usable server may run a step. Work that can run nowhere
/// occupies nothing, however long it waits.
bool can_run(const schedule_pass& pass, const std::string& service,
             const Step& step) {
    placement_request request;
    request.service = service;
    request.each = need_of(step);
    request.required_label = step.required_label();
    return std::ranges::any_of(pass.candidates, [&](const auto& candidate) {
        return is_eligible(candidate, request) &&
               fits(request.each, candidate.capacity);
    });
}

bool is_on_usable_server(const owner& self, const schedule_pass& pass,
                         const task& task) {
    return pass.candidates.size() == self.servers.size() ||
           pass.index.contains(task.agent);
}

/// The time for which a run goes on, if it takes as long as expected. Of its
/// age and its progress, what tells more.
duration time_left(const owner& self, const task& task, duration expected) {
    const auto by_age = expected - (self.run.now() - task.assigned_at);
    const auto by_progress = expected * std::max(0, 100 - task.percent) / 100;
    return std::max(duration{0}, std::min(by_age, by_progress));
}

/// The expected run time of a step, but not more than its declared one may
/// stand for: the average of a queue follows its latest runs, and would take
/// many short tasks for long ones.
duration counted_run_time(const owner& self, const job& job, int step,
                          int priority) {
    const duration declared{job.submission.steps(step).estimate_ms()};
    const auto expected = expected_run_time(self, job, step);
    return declared > duration{0}
               ? std::min(expected, longest_run_time(declared, priority))
               : expected;
}

void add_step(const owner& self, const schedule_pass& pass, const job& job,
              const occurrence& occurrence, int number,
              const queue_config& queue, priority_work& work) {
    const auto& step = job.submission.steps(number);
    // Lasting work has no end, and filling work uses what others leave.
    if (step.lasting() || step.filling())
        return;
    const auto each = need_of(step);
    const auto expected = counted_run_time(self, job, number, queue.priority);
    std::int64_t waiting = 0;
    for (const auto& task :
         occurrence.steps[static_cast<std::size_t>(number)].tasks) {
        if (task.phase == task_phase::waiting)
            ++waiting;
        else if (task.phase == task_phase::assigned && !task.ended_in_gang &&
                 is_on_usable_server(self, pass, task))
            add_tasks(work.in_time, each, 1, time_left(self, task, expected));
    }
    if (waiting == 0 || !can_run(pass, queue.service, step))
        return;
    const auto result = prospect_of(self, job, occurrence).expected;
    if (result != payoff::none)
        add_tasks(result == payoff::in_full ? work.in_time : work.late, each,
                  waiting, expected);
}

cell_sums sum_up(owner& self) {
    cell_sums sums;
    const auto pass = begin_pass(self);
    add_servers(self, pass, sums);
    for (const auto& [id, job] : self.jobs) {
        const auto* queue = queue_of(self, job);
        if (is_final(job.state) || !queue)
            continue;
        const auto service = sums.find(queue->service);
        if (service == sums.end())
            continue;
        auto& work = service->second.work[queue->priority];
        for (const auto& occurrence : job.occurrences)
            for (int step = 0; step < job.submission.steps_size(); ++step)
                add_step(self, pass, job, occurrence, step, *queue, work);
    }
    return sums;
}

void show(const owner& self, const cell_load& load) {
    for (const auto& [name, service] : load.services)
        for (const auto& [priority, drain] : service.drain)
            self.run.metrics.gauge(
                fmt::format("drain_ms{{service=\"{}\",priority=\"{}\"}}", name,
                            priority),
                static_cast<double>(drain.count()));
}

} // namespace

void publish_load(owner& self) {
    const auto now = self.run.now();
    auto& state = self.load;
    if (!self.policy.refuse_by_load || !self.on_load || now < state.next_at ||
        !self.is_valid() || !knows_servers(self))
        return;
    state.next_at = now + load_period;
    auto load = make_load(sum_up(self));
    load.epoch = self.epoch;
    load.sequence = state.published ? state.published->sequence + 1 : 1;
    if (state.published && state.published->epoch == self.epoch &&
        !is_due(load, state.published, now - state.published_at))
        return;
    show(self, load);
    self.run.metrics.count("loads_published_total");
    state.published_at = now;
    state.published = load;
    self.on_load(load);
}

} // namespace celerylift::fleet
