#include "faults.hpp"

#include "virtual/requests.hpp"

#include <memory>
#include <random>

namespace celerylift::matrix {

using fakes::delivery;
using fakes::store_fault;

namespace {

constexpr duration restart_after{4000};
constexpr duration long_pause{9000};
constexpr duration cut_for{5000};
constexpr duration loss_for{1500};
constexpr duration outage{10'000};
constexpr duration short_outage{3000};
constexpr duration watch_period{1};

/// Time for the owner to resolve writes that had no reply.
constexpr duration settling_pause{300};
constexpr duration kill_after_outage{5000};

bool is_agent(const std::string& process) {
    return process.starts_with("agent");
}

std::string entry_at(const scenario_run& run, const base::event& at) {
    if (!is_agent(at.process))
        return at.process;
    return run.cell.owner().empty() ? live_entry(run, 0) : run.cell.owner();
}

std::string agent_at(const base::event& at) {
    return is_agent(at.process) ? at.process : "agent-1";
}

void restart_later(scenario_run& run, const std::string& process) {
    run.cell.after(restart_after,
                   [&run, process] { run.cell.restart(process); });
}

void kill_entry(scenario_run& run, const base::event& at) {
    const auto entry = entry_at(run, at);
    if (entry.empty())
        return;
    run.cell.after(duration{0}, [&run, entry] { run.cell.kill(entry); });
    restart_later(run, entry);
}

void kill_agent(scenario_run& run, const base::event& at) {
    const auto agent = agent_at(at);
    run.cell.after(duration{0}, [&run, agent] { run.cell.kill(agent); });
    restart_later(run, agent);
}

void pause_process(scenario_run& run, const std::string& process) {
    if (process.empty())
        return;
    run.cell.after(duration{0}, [&run, process] { run.cell.pause(process); });
    run.cell.after(long_pause, [&run, process] { run.cell.resume(process); });
}

void pause_entry(scenario_run& run, const base::event& at) {
    pause_process(run, entry_at(run, at));
}

void pause_agent(scenario_run& run, const base::event& at) {
    pause_process(run, agent_at(at));
}

void lose_messages(scenario_run& run, const base::event&) {
    auto random = std::make_shared<std::minstd_rand>(7);
    run.cell.set_link_rule([random](const auto&, const auto&, const auto&) {
        return delivery{(*random)() % 2 == 0 ? 0 : 1, duration{0}};
    });
    run.cell.after(loss_for, [&run] { run.cell.set_link_rule({}); });
}

void double_messages(scenario_run& run, const base::event&) {
    run.cell.set_link_rule([](const auto&, const auto&, const auto&) {
        return delivery{2, duration{0}};
    });
}

void cross_messages(scenario_run& run, const base::event&) {
    auto random = std::make_shared<std::minstd_rand>(11);
    run.cell.set_link_rule([random](const auto&, const auto&, const auto&) {
        return delivery{1, duration{static_cast<int>((*random)() % 400)}};
    });
}

void cut(scenario_run& run, const base::event& at, bool to_agent,
         bool to_entry) {
    const auto entry = entry_at(run, at);
    const auto agent = agent_at(at);
    if (to_agent)
        run.cell.cut(entry, agent);
    if (to_entry)
        run.cell.cut(agent, entry);
    run.cell.after(cut_for, [&run] { run.cell.heal(); });
}

void cut_to_agent(scenario_run& run, const base::event& at) {
    cut(run, at, true, false);
}

void cut_to_entry(scenario_run& run, const base::event& at) {
    cut(run, at, false, true);
}

void cut_both_ways(scenario_run& run, const base::event& at) {
    cut(run, at, true, true);
}

void fault_store(scenario_run& run, store_fault fault, duration time) {
    run.cell.set_store_fault(fault);
    run.cell.after(time,
                   [&run] { run.cell.set_store_fault(store_fault::none); });
}

void store_down(scenario_run& run, const base::event&) {
    fault_store(run, store_fault::down, outage);
}

void store_slow(scenario_run& run, const base::event&) {
    fault_store(run, store_fault::slow, outage);
}

void store_loses_replies(scenario_run& run, const base::event&) {
    fault_store(run, store_fault::loses_replies, duration{3000});
}

void cut_from_store(scenario_run& run, const base::event& at) {
    const auto entry = entry_at(run, at);
    run.cell.cut_store(entry, true);
    run.cell.after(outage, [&run, entry] { run.cell.cut_store(entry, false); });
}

/// Waits until the owner reaches the store again, and then kills it.
void kill_once_store_is_reachable(scenario_run& run) {
    const auto* owner = run.cell.owner_state();
    if (!owner || owner->store_down_since) {
        run.cell.after(watch_period,
                       [&run] { kill_once_store_is_reachable(run); });
        return;
    }
    run.cell.after(settling_pause, [&run] {
        const auto name = run.cell.owner();
        if (name.empty())
            return;
        run.cell.kill(name);
        restart_later(run, name);
    });
}

/// Kills the owner soon after the store recovers. Everything that callers
/// have been told by then must be in the store.
void outage_then_kill(scenario_run& run, const base::event&) {
    fault_store(run, store_fault::down, short_outage);
    run.cell.after(short_outage, [&run] { kill_once_store_is_reachable(run); });
}

void expire_leases(scenario_run& run, const base::event&) {
    run.cell.after(duration{0}, [&run] { run.cell.expire_leases(); });
}

void operators_race(scenario_run& run, const base::event&) {
    run.cell.after(duration{0}, [&run] { race_operators(run); });
}

void cancellation_wave(scenario_run& run, const base::event&) {
    run.cell.after(duration{0}, [&run] { cancel_everything(run); });
}

void burst_of_jobs(scenario_run& run, const base::event&) {
    run.cell.after(duration{0}, [&run] { burst(run, 120); });
}

void worker_fails_tasks(scenario_run& run, const base::event& at) {
    run.cell.worker(agent_at(at)).fail_every_task(true);
}

void worker_unreachable(scenario_run& run, const base::event& at) {
    const auto agent = agent_at(at);
    run.cell.set_worker_reachable(agent, false);
    run.cell.after(
        outage, [&run, agent] { run.cell.set_worker_reachable(agent, true); });
}

void replace_host(scenario_run& run, const base::event& at) {
    const auto agent = agent_at(at);
    run.cell.after(duration{0},
                   [&run, agent] { run.cell.replace_host(agent); });
}

void wrong_declarations(scenario_run& run, const base::event&) {
    run.cell.after(duration{0}, [&run] {
        for (int i = 0; i < 3; ++i) {
            auto spec = fakes::gang_job("declared-" + std::to_string(i), "sump",
                                        fakes::shape(1, 4, api::WORKER), 1000);
            spec.set_declared_run_ms(i == 0 ? 10'000 : 100);
            add_caller(run, spec);
        }
    });
}

void planned_stop(scenario_run& run, const base::event& at) {
    const auto entry = entry_at(run, at);
    if (entry.empty())
        return;
    run.cell.after(duration{0}, [&run, entry] { run.cell.leave(entry); });
}

} // namespace

const std::vector<fault_kind>& all_faults() {
    static const std::vector<fault_kind> faults{
        {"entry-killed", kill_entry, restart_after, true, false},
        {"agent-killed", kill_agent, restart_after, true, false},
        {"entry-paused", pause_entry, long_pause, true, false},
        {"agent-paused", pause_agent, long_pause, true, false},
        {"messages-lost", lose_messages, loss_for, true, false},
        {"messages-doubled", double_messages, {}, false, false},
        {"messages-crossed", cross_messages, {}, true, false},
        {"cut-to-agent", cut_to_agent, cut_for, true, false},
        {"cut-to-entry", cut_to_entry, cut_for, true, false},
        {"cut-both-ways", cut_both_ways, cut_for, true, false},
        {"store-down", store_down, outage, false, false},
        {"store-slow", store_slow, outage, false, false},
        {"store-reply-lost", store_loses_replies, duration{3000}, false, false},
        {"cut-from-store", cut_from_store, outage, true, false},
        {"outage-then-kill", outage_then_kill,
         kill_after_outage + restart_after, true, false},
        {"lease-lapsed", expire_leases, {}, false, false},
        {"operators-race", operators_race, {}, false, false},
        {"cancellation-wave", cancellation_wave, {}, false, false},
        {"burst", burst_of_jobs, {}, false, false},
        {"wrong-declarations", wrong_declarations, {}, false, false},
        {"worker-fails-tasks", worker_fails_tasks, {}, true, false},
        {"worker-unreachable", worker_unreachable, outage, true, false},
        {"host-replaced", replace_host, {}, true, false},
        {"planned-stop", planned_stop, {}, false, true},
    };
    return faults;
}

} // namespace celerylift::matrix
