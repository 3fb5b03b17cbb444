#include "fake_worker.hpp"

#include <algorithm>
#include <sstream>

namespace celerylift::fakes {

using protocol::task_state;
using protocol::worker_op;
using protocol::worker_reply;
using protocol::worker_request;
using protocol::worker_status;

namespace {

constexpr duration failing_task_run{20};

time_point end_of(const std::string& payload, time_point now) {
    const auto at = payload.find("run_ms=");
    if (at == std::string::npos)
        return time_point::max();
    return now + duration{std::atoll(payload.c_str() + at + 7)};
}

} // namespace

worker_reply fake_worker::apply(const worker_request& request, time_point now) {
    advance(now);
    worker_reply reply;
    reply.id = request.id;
    reply.status = worker_status::ok;
    switch (request.op) {
    case worker_op::start:
        start(request, now, reply);
        break;
    case worker_op::renew:
        renew(request.payload, now);
        break;
    case worker_op::checkpoint:
        for (auto& h : history_)
            h.checkpoints += h.task == request.task ? 1 : 0;
        break;
    case worker_op::throttle:
        break;
    case worker_op::stop:
        if (running_.contains(request.task))
            end(request.task, task_state::stopped, now);
        break;
    case worker_op::list:
        reply.tasks = list();
        break;
    }
    return reply;
}

void fake_worker::start(const worker_request& request, time_point now,
                        worker_reply& reply) {
    const bool known = std::any_of(
        history_.begin(), history_.end(),
        [&](const task_history& h) { return h.task == request.task; });
    if (known)
        return; // Starts are idempotent.
    if (in_use() + request.accelerators > accelerators_) {
        reply.status = worker_status::refused;
        reply.detail = "not enough accelerators";
        return;
    }
    running_task task;
    task.index = history_.size();
    task.lease_until = now + request.lease;
    task.ends_at =
        fails_ ? now + failing_task_run : end_of(request.payload, now);
    task.fails = fails_;
    running_.emplace(request.task, task);
    task_history h;
    h.task = request.task;
    h.payload = request.payload;
    h.accelerators = request.accelerators;
    h.started = now;
    history_.push_back(h);
}

void fake_worker::renew(const std::string& list, time_point now) {
    std::istringstream in(list);
    std::string task;
    std::int64_t ms = 0;
    while (in >> task >> ms) {
        if (auto it = running_.find(task); it != running_.end())
            it->second.lease_until = now + duration{ms};
    }
}

void fake_worker::end(const std::string& task, task_state state,
                      time_point at) {
    auto& h = history_[running_.at(task).index];
    h.state = state;
    h.ended = at;
    running_.erase(task);
}

void fake_worker::advance(time_point now) {
    const auto running = running_;
    for (const auto& [name, task] : running) {
        const auto ends = std::min(task.ends_at, task.lease_until);
        if (ends > now)
            continue;
        const bool expired = task.lease_until < task.ends_at;
        end(name,
            expired      ? task_state::stopped
            : task.fails ? task_state::failed
                         : task_state::succeeded,
            ends);
    }
}

void fake_worker::replace(time_point now) {
    const auto running = running_;
    for (const auto& [name, task] : running)
        end(name, task_state::stopped, now);
}

int fake_worker::in_use() const {
    int used = 0;
    for (const auto& [name, task] : running_)
        used += history_[task.index].accelerators;
    return used;
}

std::vector<protocol::task_report> fake_worker::list() const {
    std::vector<protocol::task_report> tasks;
    for (const auto& h : history_)
        tasks.push_back({h.task, h.state});
    return tasks;
}

} // namespace celerylift::fakes
