#include "virtual_server.hpp"

#include <fmt/format.h>

namespace celerylift::test {

namespace {

constexpr duration one_way{1};
constexpr duration late_by{3000};
constexpr duration lost_after{500};
constexpr duration poll{5};
constexpr duration tick_period{5};
constexpr duration failing_time{50};
constexpr duration hanging_time{1'000'000};
constexpr int percent = 100;

} // namespace

class virtual_server_client : public fleet::backend_server {
public:
    virtual_server_client(virtual_server& server, std::weak_ptr<int> liveness)
        : server_(server), liveness_(std::move(liveness)) {}

    void start(const std::string& id, const fleet::start_call& call,
               std::function<void(const fleet::server_reply&)> done) override {
        act<fleet::server_reply>(id, std::move(done), [&s = server_, call] {
            return s.start(call);
        });
    }
    void stop(const std::string& id, const fleet::stop_call& call,
              std::function<void(const fleet::server_reply&)> done) override {
        act<fleet::server_reply>(id, std::move(done),
                                 [&s = server_, call] { return s.stop(call); });
    }
    void
    poll_runs(const std::string& id, const fleet::poll_call& call,
              std::function<void(const fleet::poll_reply&)> done) override {
        act<fleet::poll_reply>(
            id,
            [this, call, done = std::move(done),
             until =
                 server_.sim_.now + call.wait](const fleet::poll_reply& reply) {
                wait(call, done, until, reply);
            },
            [&s = server_, call] { return s.look(call); });
    }

private:
    void wait(const fleet::poll_call& call,
              const std::function<void(const fleet::poll_reply&)>& done,
              time_point until, const fleet::poll_reply& reply) {
        if (reply.status != fleet::server_status::ok || !reply.ended.empty() ||
            server_.sim_.now >= until)
            return done(reply);
        server_.sim_.after(
            poll, liveness_, [=, this, incarnation = server_.incarnation_] {
                auto again = call;
                // The lease and the acknowledgement take effect only once, when
                // the call arrives.
                again.deadline_ms.reset();
                again.acknowledged_up_to = 0;
                if (server_.incarnation_ != incarnation || !server_.up_)
                    return done({});
                wait(call, done, until, server_.look(again));
            });
    }

    template <class Reply, class Act>
    void act(const std::string&, std::function<void(const Reply&)> done,
             Act work) {
        auto& sim = server_.sim_;
        const auto fault = server_.fault;
        if (fault != call_fault::none) {
            if (fault == call_fault::lost)
                sim.after(one_way, guarded(work));
            if (fault == call_fault::late)
                sim.after(late_by, guarded(work));
            return sim.after(lost_after, liveness_, [done] { done({}); });
        }
        sim.after(one_way, [&s = server_, work, done, liveness = liveness_,
                            incarnation = server_.incarnation_] {
            if (!s.up_ || s.incarnation_ != incarnation) {
                s.sim_.after(lost_after, liveness, [done] { done({}); });
                return;
            }
            const auto reply = work();
            s.sim_.after(one_way, liveness, [done, reply] { done(reply); });
        });
    }

    /// A call to an earlier incarnation has no effect.
    template <class Act>
    std::function<void()> guarded(Act work) {
        return [&s = server_, work, incarnation = server_.incarnation_] {
            if (s.up_ && s.incarnation_ == incarnation)
                work();
        };
    }

    virtual_server& server_;
    std::weak_ptr<int> liveness_;
};

virtual_server::virtual_server(simulation& sim, run_history& history,
                               std::string id, std::string rack)
    : sim_(sim), history_(history), id_(std::move(id)), rack_(std::move(rack)),
      born_(sim.now) {
    tick();
}

std::unique_ptr<fleet::backend_server>
virtual_server::client(std::weak_ptr<int> liveness) {
    return std::make_unique<virtual_server_client>(*this, std::move(liveness));
}

fleet::server_heartbeat virtual_server::heartbeat() {
    fleet::server_heartbeat h;
    h.id = id_;
    h.started_unix_ms = born_.time_since_epoch().count();
    h.sequence = ++sequence_;
    h.service = "order-desk";
    h.rack = rack_;
    h.labels = {"a", rack_};
    h.capacity = capacity;
    h.draining = draining;
    h.remaining = remaining;
    return h;
}

std::int64_t virtual_server::clock() const {
    return (sim_.now - born_).count();
}

void virtual_server::tick() {
    if (up_ && clock() >= deadline_ms_)
        for (auto& [task, runs] : history_.done)
            for (auto& d : runs)
                d.lapsed = d.lapsed || (d.server == id_ && !d.noted);
    if (up_) {
        std::vector<std::pair<key, fleet::RunEnd>> over;
        for (const auto& [which, r] : runs_) {
            if (clock() >= deadline_ms_)
                over.emplace_back(which, fleet::RUN_LAPSED);
            else if (sim_.now >= r.ends)
                over.emplace_back(which, r.fails ? fleet::RUN_FAILED
                                                 : fleet::RUN_DONE);
        }
        for (const auto& [which, how] : over)
            end(which, how);
    }
    sim_.after(tick_period, [this] { tick(); });
}

void virtual_server::end(const key& which, fleet::RunEnd how) {
    runs_.erase(which);
    history_.at_work.erase(which.first);
    history_.failures += how == fleet::RUN_FAILED ? 1 : 0;
    barred_up_to_[which.first] =
        std::max(barred_up_to_[which.first], which.second);
    fleet::EndedTask e;
    e.set_number(++last_end_);
    e.mutable_name()->set_task(which.first);
    e.mutable_name()->set_run(which.second);
    e.set_how(how);
    ended_.push_back(e);
    if (how == fleet::RUN_DONE)
        history_.done[which.first].push_back(
            {which.first, which.second, sim_.now, false, false, id_});
}

bool virtual_server::takes_fence(std::int64_t fence) {
    if (fence < fence_)
        return false;
    fence_ = fence;
    return true;
}

void virtual_server::extend(std::int64_t deadline_ms) {
    deadline_ms_ = std::max(deadline_ms_, deadline_ms);
}

fleet::server_reply virtual_server::start(const fleet::start_call& call) {
    fleet::server_reply reply{fleet::server_status::refused, clock(), ""};
    if (!takes_fence(call.fencing_token)) {
        reply.reason = "fence";
        return reply;
    }
    const key which{call.task, call.run};
    if (runs_.contains(which)) {
        extend(call.deadline_ms);
        reply.status = fleet::server_status::ok;
        return reply;
    }
    if (call.deadline_ms <= clock()) {
        reply.reason = "late";
        return reply;
    }
    if (call.run <= barred_up_to_[call.task]) {
        reply.reason = "old";
        return reply;
    }
    ++history_.starts;
    ++history_.starts_of[call.task];
    const auto job = call.task.substr(0, call.task.find('.'));
    if (history_.payloads.contains(job) &&
        history_.payloads.at(job) != call.payload)
        history_.broken.push_back(call.task +
                                  " was started with another payload");
    if (history_.at_work.contains(call.task))
        history_.broken.push_back(call.task + " has two runs at once");
    for (const auto& earlier : history_.done[call.task])
        if (earlier.noted && !earlier.lapsed)
            history_.broken.push_back(
                call.task + " was started after its end was acknowledged");
    history_.at_work[call.task] = id_;
    run r;
    r.payload = call.payload;
    r.began = sim_.now;
    duration time = failing_time;
    r.fails = call.payload == "fail" || fails_everything;
    if (call.payload == "hang")
        time = hanging_time;
    else if (!r.fails && call.payload.starts_with("ms="))
        time = duration{std::stoll(call.payload.substr(3))} * duration_percent /
               percent;
    if (!call.checkpoint.empty()) {
        r.saved = duration{std::stoll(call.checkpoint)};
        history_.resumed_from.push_back(r.saved);
    }
    r.ends = sim_.now + std::max(duration{1}, time - r.saved);
    runs_[which] = r;
    extend(call.deadline_ms);
    reply.status = fleet::server_status::ok;
    return reply;
}

fleet::server_reply virtual_server::stop(const fleet::stop_call& call) {
    fleet::server_reply reply{fleet::server_status::refused, clock(), "fence"};
    if (!takes_fence(call.fencing_token))
        return reply;
    const key which{call.task, call.run};
    if (runs_.contains(which))
        end(which, fleet::RUN_STOPPED);
    barred_up_to_[call.task] = std::max(barred_up_to_[call.task], call.run);
    reply.status = fleet::server_status::ok;
    reply.reason.clear();
    return reply;
}

fleet::poll_reply virtual_server::look(const fleet::poll_call& call) {
    fleet::poll_reply reply;
    reply.clock_ms = clock();
    reply.started_unix_ms = born_.time_since_epoch().count();
    reply.status = fleet::server_status::ok;
    if (takes_fence(call.fencing_token)) {
        if (call.deadline_ms)
            extend(*call.deadline_ms);
        std::erase_if(ended_, [&](const fleet::EndedTask& e) {
            if (e.number() > call.acknowledged_up_to)
                return false;
            for (auto& d : history_.done[e.name().task()])
                if (d.run == e.name().run() && e.how() == fleet::RUN_DONE)
                    d.noted = true;
            return true;
        });
    }
    for (const auto& [which, r] : runs_) {
        fleet::RunningTask t;
        t.mutable_name()->set_task(which.first);
        t.mutable_name()->set_run(which.second);
        t.set_percent(
            static_cast<int>((sim_.now - r.began) * percent /
                             std::max(duration{1}, r.ends - r.began)));
        if (r.payload.starts_with("ms="))
            t.set_checkpoint(
                fmt::format("{}", (r.saved + sim_.now - r.began).count()));
        reply.running.push_back(t);
    }
    reply.ended = ended_;
    return reply;
}

void virtual_server::crash() {
    for (const auto& [which, r] : runs_)
        history_.at_work.erase(which.first);
    runs_.clear();
    ended_.clear();
    up_ = false;
    ++incarnation_;
}

void virtual_server::restart() {
    crash();
    up_ = true;
    born_ = sim_.now;
    sequence_ = 0;
    fence_ = 0;
    last_end_ = 0;
    deadline_ms_ = 0;
    barred_up_to_.clear();
}

} // namespace celerylift::test
