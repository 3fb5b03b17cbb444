#include "virtual_server.hpp"

#include <celerylift/fleet/names.hpp>

#include <fmt/format.h>

namespace celerylift::test {

namespace {

constexpr duration one_way_delay{1};
constexpr duration action_delay{3000};
constexpr duration reply_timeout{500};
constexpr duration poll_period{5};
constexpr duration tick_period{5};
constexpr duration failing_run_time{50};
constexpr duration hanging_run_time{1'000'000};
constexpr duration harmless_run_time{2000};
constexpr duration outage_after_crash{3000};
/// How long after a reduction a start may still exceed the capacity: until the
/// server counts as steady, and one heartbeat more.
constexpr duration capacity_notice{3500};
/// A task is not started this often after as many servers have crashed under
/// it.
/// Of the operators' requests to take a failure domain out of service.
constexpr duration evacuation_bound{5000};

constexpr int max_crashes = 3;
constexpr int percent = 100;
constexpr std::string_view crash_prefix = "crash=";
constexpr std::string_view index_field = " index=";

/// Whether a run of a task crashes its server.
bool is_deadly(const std::string& payload, const std::string& task) {
    if (!payload.starts_with(crash_prefix))
        return false;
    const auto field = payload.find(index_field);
    return field == std::string::npos ||
           task.substr(task.rfind('.') + 1) ==
               payload.substr(field + index_field.size());
}

/// The number of milliseconds after the prefix of a payload.
duration time_in(const std::string& payload, std::string_view prefix) {
    return duration{std::stoll(payload.substr(prefix.size()))};
}

} // namespace

fleet::resources need_of(const run_history& history, const std::string& task) {
    const auto name = fleet::parse_task_name(task);
    const auto needs =
        name ? history.needs.find(name->job) : history.needs.end();
    const auto step = name ? static_cast<std::size_t>(name->step) : 0;
    return needs != history.needs.end() && step < needs->second.size()
               ? needs->second[step]
               : fleet::resources{};
}

class virtual_server_client : public fleet::backend_server {
public:
    virtual_server_client(virtual_server& server, std::weak_ptr<int> liveness)
        : server_(server), liveness_(std::move(liveness)) {}

    void start(const std::string& id, const fleet::start_call& call,
               std::function<void(const fleet::server_reply&)> done) override {
        perform<fleet::server_reply>(
            id, std::move(done),
            [&server = server_, call] { return server.start(call); });
    }
    void stop(const std::string& id, const fleet::stop_call& call,
              std::function<void(const fleet::server_reply&)> done) override {
        perform<fleet::server_reply>(
            id, std::move(done),
            [&server = server_, call] { return server.stop(call); });
    }
    void
    poll_runs(const std::string& id, const fleet::poll_call& call,
              std::function<void(const fleet::poll_reply&)> done) override {
        perform<fleet::poll_reply>(
            id,
            [this, call, done = std::move(done),
             deadline =
                 server_.sim_.now + call.wait](const fleet::poll_reply& reply) {
                wait_for_end(call, done, deadline, reply);
            },
            [&server = server_, call] { return server.poll_runs(call); });
    }

private:
    void wait_for_end(const fleet::poll_call& call,
                      const std::function<void(const fleet::poll_reply&)>& done,
                      time_point deadline, const fleet::poll_reply& reply) {
        if (reply.status != fleet::server_status::ok || !reply.ended.empty() ||
            server_.sim_.now >= deadline)
            return done(reply);
        server_.sim_.after(poll_period, liveness_,
                           [=, this, incarnation = server_.incarnation_] {
                               auto next_call = call;
                               // The lease and the acknowledgement take effect
                               // only once, when the call arrives.
                               next_call.deadline_ms.reset();
                               next_call.acknowledged_up_to = 0;
                               if (server_.incarnation_ != incarnation ||
                                   !server_.up_)
                                   return done({});
                               wait_for_end(call, done, deadline,
                                            server_.poll_runs(next_call));
                           });
    }

    template <class Reply, class Action>
    void perform(const std::string&, std::function<void(const Reply&)> done,
                 Action action) {
        auto& sim = server_.sim_;
        const auto fault = server_.fault;
        if (fault != call_fault::none) {
            if (fault == call_fault::lost_replies)
                sim.after(one_way_delay, if_same_incarnation(action));
            if (fault == call_fault::delayed)
                sim.after(action_delay, if_same_incarnation(action));
            return sim.after(reply_timeout, liveness_, [done] { done({}); });
        }
        sim.after(one_way_delay,
                  [&server = server_, action, done, liveness = liveness_,
                   incarnation = server_.incarnation_] {
                      if (server.has_left_) {
                          Reply refused;
                          refused.status = fleet::server_status::unreachable;
                          server.sim_.after(one_way_delay, liveness,
                                            [done, refused] { done(refused); });
                          return;
                      }
                      if (!server.up_ || server.incarnation_ != incarnation) {
                          server.sim_.after(reply_timeout, liveness,
                                            [done] { done({}); });
                          return;
                      }
                      const auto reply = action();
                      server.sim_.after(one_way_delay, liveness,
                                        [done, reply] { done(reply); });
                  });
    }

    /// A call to an earlier incarnation has no effect, unless the server lets
    /// it.
    template <class Action>
    std::function<void()> if_same_incarnation(Action action) {
        return [&server = server_, action, incarnation = server_.incarnation_] {
            if (server.up_ && (server.incarnation_ == incarnation ||
                               server.next_incarnation_takes_calls))
                action();
        };
    }

    virtual_server& server_;
    std::weak_ptr<int> liveness_;
};

virtual_server::virtual_server(simulation& sim, run_history& history,
                               std::string id, std::string rack)
    : sim_(sim), history_(history), id_(std::move(id)), rack_(std::move(rack)),
      started_at_(sim.now) {
    tick();
}

std::unique_ptr<fleet::backend_server>
virtual_server::client(std::weak_ptr<int> liveness) {
    return std::make_unique<virtual_server_client>(*this, std::move(liveness));
}

fleet::server_heartbeat virtual_server::heartbeat() {
    fleet::server_heartbeat heartbeat;
    heartbeat.id = id_;
    heartbeat.started_unix_ms = started_at_.time_since_epoch().count();
    heartbeat.sequence = ++sequence_;
    heartbeat.service = "order-desk";
    heartbeat.rack = rack_;
    heartbeat.labels = {kind, rack_};
    heartbeat.cold_left = cold_left;
    heartbeat.capacity = capacity_;
    heartbeat.draining = draining;
    heartbeat.remaining = remaining;
    return heartbeat;
}

std::int64_t virtual_server::clock() const {
    return (sim_.now - started_at_).count();
}

void virtual_server::tick() {
    if (up_ && clock() >= deadline_ms_)
        for (auto& [task, runs] : history_.completed)
            for (auto& earlier : runs)
                earlier.expired = earlier.expired || (earlier.server == id_ &&
                                                      !earlier.acknowledged);
    if (up_) {
        std::vector<std::pair<run_key, fleet::RunEnd>> finished;
        bool crashes = false;
        for (const auto& [key, active] : runs_) {
            const auto how = due_end(active);
            if (how == fleet::RUN_DONE && active.crashes_server)
                crashes = true;
            else if (how)
                finished.emplace_back(key, *how);
        }
        for (const auto& [key, how] : finished)
            end(key, how);
        if (crashes)
            crash_for(outage_after_crash);
    }
    sim_.after(tick_period, [this] { tick(); });
}

std::optional<fleet::RunEnd> virtual_server::due_end(const run& active) const {
    if (clock() >= deadline_ms_)
        return fleet::RUN_LAPSED;
    if (sim_.now >= active.ends)
        return active.fails ? fleet::RUN_FAILED : fleet::RUN_DONE;
    if (active.stops_at && sim_.now >= *active.stops_at)
        return fleet::RUN_STOPPED;
    return std::nullopt;
}

void virtual_server::end(const run_key& key, fleet::RunEnd how) {
    runs_.erase(key);
    history_.running.erase(key.first);
    history_.failures += how == fleet::RUN_FAILED ? 1 : 0;
    fenced_up_to_[key.first] = std::max(fenced_up_to_[key.first], key.second);
    fleet::EndedTask ended;
    ended.set_number(++last_end_);
    ended.mutable_name()->set_task(key.first);
    ended.mutable_name()->set_run(key.second);
    ended.set_how(how);
    ended_.push_back(ended);
    if (how == fleet::RUN_DONE)
        history_.completed[key.first].push_back(
            {key.first, key.second, sim_.now, false, false, id_});
}

bool virtual_server::accept_fencing_token(std::int64_t token) {
    if (token < fencing_token_)
        return false;
    fencing_token_ = token;
    return true;
}

void virtual_server::extend(std::int64_t deadline_ms) {
    deadline_ms_ = std::max(deadline_ms_, deadline_ms);
}

fleet::server_reply virtual_server::start(const fleet::start_call& call) {
    fleet::server_reply reply{fleet::server_status::refused, clock(), ""};
    if (!accept_fencing_token(call.fencing_token)) {
        reply.reason = "fence";
        return reply;
    }
    const run_key key{call.task, call.run};
    if (runs_.contains(key)) {
        extend(call.deadline_ms);
        reply.status = fleet::server_status::ok;
        return reply;
    }
    if (call.deadline_ms <= clock()) {
        reply.reason = "late";
        return reply;
    }
    if (call.run <= fenced_up_to_[call.task]) {
        reply.reason = "old";
        return reply;
    }
    ++history_.starts;
    ++history_.starts_by_task[call.task];
    check_start(call);
    check_capacity(call.task);
    history_.running[call.task] = id_;
    runs_[key] = begin_run(call);
    extend(call.deadline_ms);
    reply.status = fleet::server_status::ok;
    return reply;
}

void virtual_server::check_start(const fleet::start_call& call) {
    const auto job = call.task.substr(0, call.task.find('.'));
    if (history_.payloads.contains(job) &&
        history_.payloads.at(job) != call.payload)
        history_.violations.push_back(call.task +
                                      " was started with another payload");
    if (history_.running.contains(call.task))
        history_.violations.push_back(call.task + " has two runs at once");
    for (const auto& earlier : history_.completed[call.task])
        if (earlier.acknowledged && !earlier.expired)
            history_.violations.push_back(
                call.task + " was started after its end was acknowledged");
    const auto out = history_.out_of_service_since.find(failure_domain);
    if (out != history_.out_of_service_since.end() &&
        sim_.now > out->second + evacuation_bound)
        history_.violations.push_back(
            call.task + " was started in a failure domain out of service");
    const auto limit = history_.start_limits.find(call.task);
    if (limit != history_.start_limits.end() &&
        history_.starts_by_task[call.task] == limit->second)
        history_.violations.push_back(
            call.task + " was started too often after it crashed servers");
}

void virtual_server::check_capacity(const std::string& task) {
    auto used = need_of(history_, task);
    for (const auto& [key, active] : runs_)
        used += need_of(history_, key.first);
    if (!fits(used, largest_recent_capacity()))
        history_.violations.push_back(
            fmt::format("{} exceeds the capacity of {}", task, id_));
}

fleet::resources virtual_server::largest_recent_capacity() const {
    auto largest = capacity_;
    for (const auto& [until, former] : former_capacities_)
        if (sim_.now < until + capacity_notice)
            largest = {std::max(largest.millicores, former.millicores),
                       std::max(largest.memory_mb, former.memory_mb),
                       std::max(largest.accelerators, former.accelerators)};
    return largest;
}

void virtual_server::set_capacity(const fleet::resources& capacity) {
    former_capacities_.emplace_back(sim_.now, capacity_);
    capacity_ = capacity;
}

virtual_server::run virtual_server::begin_run(const fleet::start_call& call) {
    run started;
    started.payload = call.payload;
    started.began = sim_.now;
    duration run_time = failing_run_time;
    started.fails = call.payload == "fail" || fails_all_runs;
    if (call.payload == "hang")
        run_time = hanging_run_time;
    else if (!started.fails && call.payload.starts_with("ms="))
        run_time = time_in(call.payload, "ms=") * run_time_percent / percent;
    else if (!started.fails && call.payload.starts_with(crash_prefix)) {
        started.crashes_server = is_deadly(call.payload, call.task);
        run_time = started.crashes_server ? time_in(call.payload, crash_prefix)
                                          : harmless_run_time;
    }
    if (!call.checkpoint.empty()) {
        started.initial_progress = duration{std::stoll(call.checkpoint)};
        started.began += restore_time;
        history_.resumed_checkpoints.push_back(started.initial_progress);
    }
    started.ends = started.began +
                   std::max(duration{1}, run_time - started.initial_progress);
    return started;
}

fleet::server_reply virtual_server::stop(const fleet::stop_call& call) {
    fleet::server_reply reply{fleet::server_status::refused, clock(), "fence"};
    if (!accept_fencing_token(call.fencing_token))
        return reply;
    const run_key key{call.task, call.run};
    const auto it = runs_.find(key);
    if (it != runs_.end() && stop_time == duration{0})
        end(key, fleet::RUN_STOPPED);
    else if (it != runs_.end() && !it->second.stops_at)
        it->second.stops_at = sim_.now + stop_time;
    fenced_up_to_[call.task] = std::max(fenced_up_to_[call.task], call.run);
    reply.status = fleet::server_status::ok;
    reply.reason.clear();
    return reply;
}

fleet::poll_reply virtual_server::poll_runs(const fleet::poll_call& call) {
    fleet::poll_reply reply;
    reply.clock_ms = clock();
    reply.started_unix_ms = started_at_.time_since_epoch().count();
    reply.status = fleet::server_status::ok;
    if (accept_fencing_token(call.fencing_token)) {
        if (call.deadline_ms)
            extend(*call.deadline_ms);
        std::erase_if(ended_, [&](const fleet::EndedTask& ended) {
            if (ended.number() > call.acknowledged_up_to)
                return false;
            for (auto& earlier : history_.completed[ended.name().task()])
                if (earlier.run == ended.name().run() &&
                    ended.how() == fleet::RUN_DONE)
                    earlier.acknowledged = true;
            return true;
        });
    }
    for (const auto& [key, active] : runs_) {
        fleet::RunningTask listed;
        listed.mutable_name()->set_task(key.first);
        listed.mutable_name()->set_run(key.second);
        const auto ran = std::max(duration{0}, sim_.now - active.began);
        listed.set_percent(static_cast<int>(
            ran * percent / std::max(duration{1}, active.ends - active.began)));
        if (active.payload.starts_with("ms="))
            listed.set_checkpoint(
                fmt::format("{}", (active.initial_progress + ran).count()));
        reply.running.push_back(listed);
    }
    reply.ended = ended_;
    return reply;
}

void virtual_server::crash() {
    for (const auto& [key, active] : runs_) {
        history_.running.erase(key.first);
        if (active.crashes_server &&
            ++history_.crashes_by_task[key.first] == max_crashes)
            history_.start_limits[key.first] =
                history_.starts_by_task[key.first] + max_crashes;
    }
    runs_.clear();
    ended_.clear();
    up_ = false;
    ++incarnation_;
}

void virtual_server::fail_runs() {
    const auto copy = runs_;
    for (const auto& [key, active] : copy)
        end(key, fleet::RUN_FAILED);
}

void virtual_server::crash_for(duration outage) {
    crash();
    sim_.after(outage, [this, incarnation = incarnation_] {
        if (!up_ && incarnation_ == incarnation)
            restart();
    });
}

void virtual_server::leave() {
    crash();
    has_left_ = true;
}

void virtual_server::restart() {
    crash();
    up_ = true;
    has_left_ = false;
    started_at_ = sim_.now;
    sequence_ = 0;
    fencing_token_ = 0;
    last_end_ = 0;
    deadline_ms_ = 0;
    fenced_up_to_.clear();
}

} // namespace celerylift::test
