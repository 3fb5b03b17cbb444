#include "scenario.hpp"

#include "virtual/requests.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace celerylift::matrix {

using namespace fakes;

namespace {

constexpr duration caller_patience{31'000};
constexpr duration drive_period{50};
constexpr int borrowers = 6;
constexpr int borrowed_run_ms = 25'000;

bool has_run(scenario_run& run, const std::string& job) {
    if (run.cell.executions(job) > 0)
        return true;
    const auto mark = "job=" + job + " ";
    for (const auto& agent : run.cell.agents()) {
        for (const auto& h : run.cell.worker(agent).history()) {
            if (h.payload.find(mark) != std::string::npos)
                return true;
        }
    }
    return false;
}

void ask(scenario_run& run, caller_record& caller, const wire::ApiCall& call) {
    const auto entry = live_entry(run, caller.next_entry);
    if (entry.empty())
        return;
    caller.call = run.cell.call(entry, call);
    caller.asked = run.cell.now();
    run.call_entries[caller.call] = entry;
}

void ask_next(scenario_run& run, caller_record& caller) {
    if (!caller.accepted)
        ask(run, caller, submit(caller.spec));
    else
        ask(run, caller, wait_for(caller.spec.id(), duration{30'000}));
}

void apply_status(scenario_run& run, caller_record& caller,
                  const api::JobStatus& status) {
    caller.accepted = true;
    caller.durable = status.durable();
    caller.refusal.reset();
    if (status.state() < api::ANSWERED)
        return;
    caller.outcome = status;
    const auto& e = status.error();
    if (status.has_error() && e.ran() == api::NOT_RUN &&
        has_run(run, caller.spec.id()))
        run.violations.push_back(caller.spec.id() +
                                 " ran, but its caller is told that it did "
                                 "not");
}

void apply_error(scenario_run& run, caller_record& caller,
                 const api::Error& e) {
    caller.next_entry += 1;
    // A job that was accepted but not stored may be lost. Its caller submits
    // it again with the same id when the cell no longer knows it.
    if (caller.accepted && !caller.durable && e.kind() == api::NOT_FOUND)
        caller.accepted = false;
    if (e.ran() != api::NOT_RUN)
        return;
    if (caller.accepted)
        return; // A failed wait says nothing about the job's outcome.
    caller.refusal = e;
    caller.ran_when_refused = has_run(run, caller.spec.id());
}

void drive(scenario_run& run, caller_record& caller) {
    if (caller.outcome)
        return;
    const auto reply = run.cell.reply_to(caller.call);
    const bool silent =
        caller.call == 0 || run.cell.now() > caller.asked + caller_patience;
    if (!reply && !silent)
        return;
    if (reply && reply->has_job())
        apply_status(run, caller, reply->job());
    else if (reply)
        apply_error(run, caller, reply->error());
    else
        caller.next_entry += 1;
    if (!caller.outcome)
        ask_next(run, caller);
}

api::JobSpec with_gang_and_service(const std::string& id) {
    auto spec = quote(id, "sump", false, 500);
    *spec.mutable_gang() = shape(1, 4, api::WORKER);
    return spec;
}

api::JobSpec once_gang(const std::string& id) {
    auto spec = gang_job(id, "kwela", shape(3, 8, api::RACK), 2000);
    spec.set_not_repeatable(true);
    spec.set_urgency(api::URGENT);
    return spec;
}

void change_configuration(scenario_run& run) {
    auto settings = protocol::default_settings();
    settings.set_queue_limit(900);
    const auto entry = live_entry(run, 0);
    if (entry.empty())
        return;
    wire::ApiCall call = set_settings(settings, 2);
    call.mutable_set_configuration()->set_request_id("change-1");
    const auto id = run.cell.call(entry, call);
    run.call_entries[id] = entry;
    run.cell.after(duration{1000}, [&run, id] {
        const auto reply = run.cell.reply_to(id);
        if (!reply || !reply->has_revision())
            return;
        run.accepted_revision = reply->revision().revision();
        run.accepted_at = run.cell.now();
    });
}

void watch_events(scenario_run& run, const base::event& e) {
    if (e.kind == "job_RUNNING" && e.subject == "once-gang" &&
        !run.reclaim_done_at)
        run.reclaim_done_at = run.cell.now();
    if (e.kind != "configuration")
        return;
    const std::int64_t revision = std::atoll(e.detail.c_str() + 9);
    auto& last = run.revisions[e.process];
    if (revision < last)
        run.violations.push_back(
            fmt::format("{} went back from configuration {} to {}", e.process,
                        last, revision));
    last = std::max(last, revision);
}

void plan_departures(scenario_run& run) {
    run.cell.after(duration{2000}, [&run] {
        run.cell.set_backend_leaving("agent-2");
        run.backend_left_at = run.cell.now();
    });
    run.cell.after(duration{2500}, [&run] { run.cell.leave("agent-5"); });
    run.cell.after(duration{3000}, [&run] {
        if (!run.cell.owner().empty())
            run.cell.leave(run.cell.owner());
    });
}

void every_period(scenario_run& run) {
    drive_callers(run);
    run.cell.after(drive_period, [&run] { every_period(run); });
}

} // namespace

bool scenario_run::all_ended() const {
    return std::all_of(callers.begin(), callers.end(), [](const auto& c) {
        return c.second.outcome.has_value();
    });
}

std::string live_entry(const scenario_run& run, int after) {
    const auto entries = run.cell.entries();
    for (std::size_t i = 0; i < entries.size(); ++i) {
        const auto& name =
            entries[(static_cast<std::size_t>(after) + i) % entries.size()];
        if (run.cell.is_up(name) && !run.cell.is_paused(name) &&
            !run.cell.entry(name).leaving)
            return name;
    }
    return {};
}

std::unique_ptr<scenario_run> begin_scenario(scenario which) {
    auto run = std::make_unique<scenario_run>();
    run->which = which;
    auto& cell = run->cell;
    cell.run_until([&] {
        return !cell.owner().empty() &&
               cell.owner_state()->cell.workers.size() == 6;
    });
    cell.ask("entry-1", put_organisation("kwela", 1, shape(3, 8, api::RACK)));
    cell.ask("entry-2", put_organisation("sump", 2, shape(1, 8, api::WORKER)));
    return run;
}

void add_caller(scenario_run& run, const api::JobSpec& spec) {
    auto& caller = run.callers[spec.id()];
    caller.spec = spec;
    caller.next_entry = static_cast<int>(run.callers.size());
    ask_next(run, caller);
}

void start_workload(scenario_run& run) {
    run.cell.observe([&run](const base::event& e) {
        watch_events(run, e);
        if (run.on_event)
            run.on_event(e);
    });
    for (int i = 0; i < borrowers; ++i)
        add_caller(run, gang_job(fmt::format("borrower-{}", i), "sump",
                                 shape(1, 8, api::WORKER), borrowed_run_ms));
    run.cell.after(duration{1000}, [&run] {
        run.reclaim_requested_at = run.cell.now();
        add_caller(run, once_gang("once-gang"));
        add_caller(run, with_gang_and_service("served-gang"));
        for (int i = 0; i < 4; ++i)
            add_caller(run, quote(fmt::format("quote-{}", i), "kwela",
                                  i % 2 == 0, 300));
    });
    run.cell.after(duration{1500}, [&run] { change_configuration(run); });
    run.cell.after(duration{4500}, [&run] {
        add_caller(run,
                   gang_job("pair", "sump", shape(2, 5, api::RACK), 30'000));
    });
    run.cell.after(duration{9000}, [&run] {
        for (int i = 0; i < 12; ++i)
            add_caller(
                run, quote(fmt::format("late-{}", i), "sump", i % 2 == 0, 100));
    });
    run.cell.after(drive_period, [&run] { every_period(run); });
    if (run.which == scenario::ownership)
        run.cell.after(duration{2000}, [&run] {
            if (!run.cell.owner().empty())
                run.cell.kill(run.cell.owner());
        });
    if (run.which == scenario::leaving)
        plan_departures(run);
}

void drive_callers(scenario_run& run) {
    for (auto& [id, caller] : run.callers)
        drive(run, caller);
}

void burst(scenario_run& run, int jobs) {
    for (int i = 0; i < jobs; ++i)
        add_caller(run,
                   quote(fmt::format("burst-{}", i), "kwela", i % 3 == 0, 50));
}

void cancel_everything(scenario_run& run) {
    for (auto& [id, caller] : run.callers) {
        const auto entry = live_entry(run, caller.next_entry);
        if (caller.outcome || !caller.accepted || entry.empty())
            continue;
        caller.cancelled = true;
        run.call_entries[run.cell.call(entry, cancel(id))] = entry;
    }
}

void race_operators(scenario_run& run) {
    for (int i = 0; i < 2; ++i) {
        const auto entry = live_entry(run, i);
        if (entry.empty())
            continue;
        const auto call = run.cell.call(
            entry, put_organisation("kwela", 1, shape(3, 8, api::RACK), 1));
        run.call_entries[call] = entry;
    }
}

} // namespace celerylift::matrix
