// Gang members on the agent's worker. Each runs under a lease.
#include "agent_internal.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace celerylift::protocol {

namespace {

constexpr duration poll_period{250};
constexpr duration idle_poll_period{500};

/// Interval between renewals of the worker's task leases.
constexpr duration task_renewal{500};

/// Consecutive failed calls after which the worker is unreachable.
constexpr int max_worker_failures = 3;

std::string task_of(std::uint64_t gang) {
    return fmt::format("{:x}", gang);
}

std::uint64_t gang_of(const std::string& task) {
    return std::strtoull(task.c_str(), nullptr, 16);
}

bool is_active(const agent_member& m) {
    return m.report.state() < wire::SUCCEEDED;
}

void tell(const agent_context& c, const std::string& to, const agent_member& m,
          bool refused = false, const std::string& detail = {}) {
    if (to.empty())
        return;
    auto& update = *send(c, to).mutable_member_update();
    update.set_epoch(c.agent.epoch);
    update.set_incarnation(c.agent.incarnation);
    *update.mutable_member() = m.report;
    update.set_refused(refused);
    update.set_detail(detail);
}

void set_state(const agent_context& c, agent_member& m,
               wire::MemberState state) {
    m.report.set_state(state);
    note(c, "member_" + wire::MemberState_Name(state), m.report.job(),
         task_of(m.report.gang()));
    tell(c, c.agent.owner, m);
}

int accelerators_in_use(const agent_state& agent) {
    int used = 0;
    for (const auto& [gang, m] : agent.members)
        used += is_active(m) ? m.report.accelerators() : 0;
    return used;
}

std::uint64_t call_worker(const agent_context& c, worker_request request) {
    request.id = c.agent.next_request++;
    c.out.worker.push_back(std::move(request));
    return c.out.worker.back().id;
}

void call_start(const agent_context& c, agent_member& m) {
    worker_request request;
    request.op = worker_op::start;
    request.task = task_of(m.report.gang());
    request.accelerators = m.report.accelerators();
    request.lease = m.lease_until - c.now;
    request.payload = m.payload;
    m.request = call_worker(c, std::move(request));
}

void call_stop(const agent_context& c, agent_member& m) {
    worker_request request;
    request.op = worker_op::stop;
    request.task = task_of(m.report.gang());
    m.request = call_worker(c, std::move(request));
}

void begin_stop(const agent_context& c, agent_member& m) {
    m.checkpoint_end = {};
    if (!m.report.ever_started())
        return set_state(c, m, wire::STOPPED);
    if (m.report.state() != wire::STOPPING)
        set_state(c, m, wire::STOPPING);
    call_stop(c, m);
}

void begin_checkpoint(const agent_context& c, agent_member& m, duration grace) {
    set_state(c, m, wire::STOPPING);
    m.checkpoint_end = c.now + grace;
    worker_request request;
    request.op = worker_op::checkpoint;
    request.task = task_of(m.report.gang());
    m.request = call_worker(c, std::move(request));
}

agent_member new_member(const wire::Reserve& reserve, time_point now) {
    agent_member m;
    m.report.set_gang(reserve.gang());
    m.report.set_job(reserve.job());
    m.report.set_accelerators(reserve.accelerators());
    m.report.set_gang_size(reserve.gang_size());
    m.report.set_state(wire::RESERVED);
    m.lease_until = now + duration{reserve.lease_ms()};
    return m;
}

} // namespace

void on_reserve(const agent_context& c, const std::string& from,
                const wire::Reserve& reserve) {
    auto it = c.agent.members.find(reserve.gang());
    if (it != c.agent.members.end())
        return tell(c, from, it->second, !is_active(it->second),
                    "the gang was released");
    auto m = new_member(reserve, c.now);
    const int free =
        c.agent.settings.worker.accelerators - accelerators_in_use(c.agent);
    if (reserve.accelerators() > free) {
        m.report.set_state(wire::STOPPED);
        return tell(c, from, m, true,
                    fmt::format("{} accelerators are free", free));
    }
    auto& kept = c.agent.members.emplace(reserve.gang(), m).first->second;
    set_state(c, kept, wire::RESERVED);
}

void on_start(const agent_context& c, const std::string& from,
              const wire::Start& start) {
    auto it = c.agent.members.find(start.gang());
    if (it == c.agent.members.end()) {
        agent_member none;
        none.report.set_gang(start.gang());
        none.report.set_state(wire::STOPPED);
        return tell(c, from, none, true, "the reservation is not known");
    }
    auto& m = it->second;
    if (m.report.state() != wire::RESERVED)
        return tell(c, from, m, !is_active(m), "the gang was released");
    if (c.now >= m.lease_until)
        return begin_stop(c, m);
    m.payload = start.payload();
    m.report.set_ever_started(true);
    set_state(c, m, wire::STARTING);
    call_start(c, m);
}

void on_release(const agent_context& c, const std::string& from,
                const wire::Release& release) {
    auto it = c.agent.members.find(release.gang());
    if (it == c.agent.members.end()) {
        agent_member none;
        none.report.set_gang(release.gang());
        none.report.set_state(wire::STOPPED);
        return tell(c, from, none);
    }
    auto& m = it->second;
    if (!is_active(m))
        return tell(c, from, m);
    if (m.report.state() == wire::STOPPING || m.stop_wanted)
        return;
    if (m.report.state() == wire::STARTING && m.request != 0) {
        m.stop_wanted = true; // Stops once the start is answered.
        return;
    }
    const bool checkpoints =
        release.grace_ms() > 0 && m.report.state() == wire::STARTED;
    if (checkpoints)
        begin_checkpoint(c, m, duration{release.grace_ms()});
    else
        begin_stop(c, m);
}

void renew_members(const agent_context& c, const wire::HeartbeatAck& ack,
                   time_point sent) {
    const duration lease{c.agent.configuration.gang_lease_ms()};
    for (auto gang : ack.renewed()) {
        auto it = c.agent.members.find(gang);
        if (it == c.agent.members.end())
            continue;
        it->second.lease_until = std::max(it->second.lease_until, sent + lease);
    }
}

namespace {

void stop_expired(const agent_context& c) {
    for (auto& [gang, m] : c.agent.members) {
        const bool expired = is_active(m) && c.now >= m.lease_until &&
                             m.report.state() != wire::STOPPING;
        if (!expired || m.stop_wanted)
            continue;
        note(c, "lease_lapsed", m.report.job(), task_of(gang));
        if (m.request != 0)
            m.stop_wanted = true;
        else
            begin_stop(c, m);
    }
}

void stop_after_checkpoint(const agent_context& c) {
    for (auto& [gang, m] : c.agent.members) {
        if (m.report.state() != wire::STOPPING)
            continue;
        const bool waited =
            m.checkpoint_end != time_point{} && c.now >= m.checkpoint_end;
        if (waited || m.request == 0)
            begin_stop(c, m);
    }
}

void renew_tasks(const agent_context& c) {
    if (c.now < c.agent.next_renewal)
        return;
    c.agent.next_renewal = c.now + task_renewal;
    worker_request request;
    request.op = worker_op::renew;
    for (const auto& [gang, m] : c.agent.members) {
        if (m.report.state() != wire::STARTED || c.now >= m.lease_until)
            continue;
        request.payload += fmt::format("{} {}\n", task_of(gang),
                                       (m.lease_until - c.now).count());
    }
    if (!request.payload.empty())
        call_worker(c, std::move(request));
}

void poll_worker(const agent_context& c) {
    if (c.now < c.agent.next_poll || c.agent.poll_request != 0)
        return;
    c.agent.next_poll =
        c.now + (c.agent.members.empty() ? idle_poll_period : poll_period);
    worker_request request;
    request.op = worker_op::list;
    c.agent.poll_request = call_worker(c, std::move(request));
}

void drop_stopped(const agent_context& c) {
    // An owner that has not asked for this long has dropped the gang too.
    const duration kept{10 * c.agent.configuration.gang_lease_ms()};
    std::erase_if(c.agent.members, [&](const auto& entry) {
        const auto& m = entry.second;
        const bool forgotten =
            m.report.state() == wire::STOPPED && c.now >= m.lease_until + kept;
        if (forgotten)
            retire(c, entry.first);
        return forgotten;
    });
}

void record_worker_contact(const agent_context& c, worker_status status) {
    const bool was_healthy = c.agent.worker_has_replied &&
                             c.agent.worker_failures < max_worker_failures;
    if (status == worker_status::unreachable)
        ++c.agent.worker_failures;
    else
        c.agent.worker_failures = 0;
    if (status != worker_status::unreachable)
        c.agent.worker_has_replied = true;
    if (was_healthy && c.agent.worker_failures == max_worker_failures)
        note(c, "worker_unreachable", c.agent.settings.worker.id);
}

void apply_task_report(const agent_context& c, const task_report& task) {
    auto it = c.agent.members.find(gang_of(task.task));
    if (it == c.agent.members.end() || !is_active(it->second)) {
        if (task.state != task_state::running)
            return;
        // Started by an earlier incarnation of this agent.
        note(c, "stray_task_stopped", task.task);
        worker_request stop;
        stop.op = worker_op::stop;
        stop.task = task.task;
        call_worker(c, std::move(stop));
        return;
    }
    auto& m = it->second;
    if (m.report.state() != wire::STARTED)
        return;
    if (task.state == task_state::succeeded)
        set_state(c, m, wire::SUCCEEDED);
    else if (task.state == task_state::failed)
        set_state(c, m, wire::TASK_FAILED);
    else if (task.state == task_state::stopped)
        set_state(c, m, wire::STOPPED);
}

void apply_task_list(const agent_context& c, const worker_reply& reply) {
    c.agent.poll_request = 0;
    if (reply.status != worker_status::ok)
        return;
    for (const auto& task : reply.tasks)
        apply_task_report(c, task);
}

void started(const agent_context& c, agent_member& m,
             const worker_reply& reply) {
    m.request = 0;
    if (reply.status == worker_status::unreachable) {
        if (m.stop_wanted || c.now >= m.lease_until)
            return begin_stop(c, m);
        return call_start(c, m); // Starts are idempotent.
    }
    if (reply.status == worker_status::refused) {
        note(c, "start_refused", m.report.job(), reply.detail);
        m.report.set_ever_started(false);
        return set_state(c, m, wire::STOPPED);
    }
    set_state(c, m, wire::STARTED);
    if (m.stop_wanted)
        begin_stop(c, m);
}

void stopping(const agent_context& c, agent_member& m,
              const worker_reply& reply) {
    m.request = 0;
    if (m.checkpoint_end != time_point{})
        return begin_stop(c, m); // The checkpoint call has returned.
    if (reply.status != worker_status::unreachable)
        return set_state(c, m, wire::STOPPED);
    // The worker stops a task whose lease has expired.
    if (c.now >= m.lease_until)
        set_state(c, m, wire::STOPPED);
}

agent_member* member_with(agent_state& agent, std::uint64_t request) {
    for (auto& [gang, m] : agent.members) {
        if (m.request == request)
            return &m;
    }
    return nullptr;
}

} // namespace

void on_worker_reply(const agent_context& c, const worker_reply& reply) {
    record_worker_contact(c, reply.status);
    if (reply.id == c.agent.poll_request)
        return apply_task_list(c, reply);
    auto* m = member_with(c.agent, reply.id);
    if (!m)
        return;
    if (m->report.state() == wire::STARTING)
        started(c, *m, reply);
    else if (m->report.state() == wire::STOPPING)
        stopping(c, *m, reply);
    else
        m->request = 0;
}

void tick_members(const agent_context& c) {
    if (c.agent.settings.worker.id.empty())
        return;
    stop_expired(c);
    stop_after_checkpoint(c);
    renew_tasks(c);
    poll_worker(c);
    drop_stopped(c);
}

} // namespace celerylift::protocol
