#include "fleet_scenario.hpp"

#include <celerylift/fleet/jobs.hpp>

#include <fmt/format.h>

namespace celerylift::test {

namespace {

constexpr fleet::resources small{8'000, 16'000, 1};
constexpr fleet::resources large{52'000, 75'000, 4};
constexpr fleet::resources whole_server{64'000, 100'000, 8};
constexpr int entry_count = 3;
constexpr int server_count = 6;

std::string job_id(int n) {
    return fmt::format("{:016x}", n);
}

int owner_or_first(const virtual_fleet& fleet) {
    return fleet.owner_entry() == 0 ? 1 : fleet.owner_entry();
}

fault store_fault_case(const std::string& name, store_fault injected,
                       duration active_time) {
    return {"store_" + name,
            [injected](virtual_fleet& fleet) { fleet.store.fault = injected; },
            [](virtual_fleet& fleet) { fleet.store.fault = store_fault::none; },
            active_time};
}

fault owner_store_fault_case(const std::string& name, store_fault injected) {
    return {"owner_store_" + name,
            [injected](virtual_fleet& fleet) {
                fleet.store.client_faults[fmt::format(
                    "entry-{}", owner_or_first(fleet))] = injected;
            },
            [](virtual_fleet& fleet) { fleet.store.client_faults.clear(); },
            duration{6000}};
}

fault server_fault_case(const std::string& name, call_fault injected) {
    return {"servers_" + name,
            [injected](virtual_fleet& fleet) {
                for (int n = 1; n <= server_count; n += 2)
                    fleet.server(n).fault = injected;
            },
            [](virtual_fleet& fleet) {
                for (int n = 1; n <= server_count; ++n)
                    fleet.server(n).fault = call_fault::none;
            }};
}

} // namespace

void restart_entries(virtual_fleet& fleet) {
    for (int n = 1; n <= entry_count; ++n)
        if (!fleet.has_entry(n))
            fleet.start_entry(n);
}

void restart_agents(virtual_fleet& fleet) {
    for (int n = 1; n <= server_count; ++n)
        if (!fleet.has_agent(n))
            fleet.start_agent(n);
}

namespace {

std::vector<fault> process_faults() {
    return {
        {"owner_killed",
         [](virtual_fleet& fleet) { fleet.kill_entry(owner_or_first(fleet)); },
         restart_entries},
        {"owner_stopped",
         [](virtual_fleet& fleet) {
             if (fleet.has_entry(owner_or_first(fleet)))
                 fleet.entry(owner_or_first(fleet))
                     .stop(fleet.sim.now + duration{5200});
         },
         [](virtual_fleet& fleet) {
             for (int n = 1; n <= entry_count; ++n)
                 fleet.kill_entry(n);
             restart_entries(fleet);
         }},
        {"entries_killed",
         [](virtual_fleet& fleet) {
             for (int n = 1; n <= entry_count; ++n)
                 fleet.kill_entry(n);
         },
         restart_entries},
        {"agents_killed",
         [](virtual_fleet& fleet) {
             for (int n = 1; n <= server_count; ++n)
                 fleet.kill_agent(n);
         },
         restart_agents, duration{800}},
        {"everything_killed",
         [](virtual_fleet& fleet) {
             for (int n = 1; n <= entry_count; ++n)
                 fleet.kill_entry(n);
             for (int n = 1; n <= server_count; ++n)
                 fleet.kill_agent(n);
         },
         [](virtual_fleet& fleet) {
             restart_entries(fleet);
             restart_agents(fleet);
         },
         duration{1200}},
        {"agents_killed_long",
         [](virtual_fleet& fleet) {
             for (int n = 1; n <= server_count; n += 2)
                 fleet.kill_agent(n);
         },
         restart_agents, duration{9000}},
    };
}

std::vector<fault> network_faults() {
    const auto cut = [](virtual_fleet& fleet, int entry, int agent) {
        fleet.set_link(entry, agent, false);
    };
    const auto restore = [](virtual_fleet& fleet) {
        for (int entry = 1; entry <= entry_count; ++entry)
            for (int agent = 1; agent <= server_count; ++agent)
                fleet.set_link(entry, agent, true);
    };
    return {
        {"agents_cut_off",
         [cut](virtual_fleet& fleet) {
             for (int entry = 1; entry <= entry_count; ++entry)
                 for (int agent = 1; agent <= server_count; agent += 2)
                     cut(fleet, entry, agent);
         },
         restore, duration{8000}},
        {"agents_cut_briefly",
         [cut](virtual_fleet& fleet) {
             for (int entry = 1; entry <= entry_count; ++entry)
                 for (int agent = 1; agent <= server_count; ++agent)
                     cut(fleet, entry, agent);
         },
         restore, duration{1500}},
        {"owner_cut_from_agents",
         [cut](virtual_fleet& fleet) {
             for (int agent = 1; agent <= server_count; ++agent)
                 cut(fleet, owner_or_first(fleet), agent);
         },
         restore, duration{4000}},
    };
}

std::vector<fault> server_faults() {
    return {
        server_fault_case("lose_answers", call_fault::lost_replies),
        server_fault_case("delay_calls", call_fault::delayed),
        server_fault_case("are_unresponsive", call_fault::unresponsive),
        {"servers_crash",
         [](virtual_fleet& fleet) {
             fleet.server(1).crash();
             fleet.server(4).crash();
         },
         [](virtual_fleet& fleet) {
             fleet.server(1).restart();
             fleet.server(4).restart();
         }},
        {"servers_restart",
         [](virtual_fleet& fleet) {
             fleet.server(2).restart();
             fleet.server(3).restart();
         },
         [](virtual_fleet&) {}},
        {"servers_fail",
         [](virtual_fleet& fleet) { fleet.server(1).fails_all_runs = true; },
         [](virtual_fleet& fleet) { fleet.server(1).fails_all_runs = false; }},
        {"servers_drain",
         [](virtual_fleet& fleet) {
             fleet.server(1).draining = true;
             fleet.server(5).draining = true;
         },
         [](virtual_fleet& fleet) {
             fleet.server(1).draining = false;
             fleet.server(5).draining = false;
         }},
    };
}

std::vector<fault> store_faults() {
    return {store_fault_case("unresponsive", store_fault::unresponsive,
                             duration{4500}),
            store_fault_case("busy", store_fault::busy, duration{2500}),
            store_fault_case("loses_replies", store_fault::lost_replies,
                             duration{2500}),
            store_fault_case("delays_writes", store_fault::delayed_writes,
                             duration{2500}),
            owner_store_fault_case("unresponsive", store_fault::unresponsive),
            owner_store_fault_case("busy", store_fault::busy),
            owner_store_fault_case("loses_replies", store_fault::lost_replies),
            {"history_dropped",
             [](virtual_fleet& fleet) { fleet.store.compact(); },
             [](virtual_fleet&) {}}};
}

std::vector<fault> operator_requests() {
    return {
        {"domain_out_of_service",
         [](virtual_fleet& fleet) { fleet.take_out_of_service("za-north-a"); },
         [](virtual_fleet& fleet) { fleet.return_to_service("za-north-a"); },
         duration{7000}}};
}

} // namespace

namespace {

bool has_text(const std::string& line, const std::string& text) {
    return line.find(text) != std::string::npos;
}

} // namespace

int count_events(const virtual_fleet& fleet, std::size_t first_line,
                 const std::string& event, const std::string& domain) {
    int count = 0;
    for (std::size_t i = first_line; i < fleet.sim.log.size(); ++i)
        for (int n = 1; n <= server_count; ++n)
            if (const auto& line = fleet.sim.log[i];
                fleet.failure_domain_of(n) == domain &&
                has_text(line, fmt::format("\"agent-{}\"", n)) &&
                has_text(line, fmt::format("\"event\":\"{}\"", event)))
                ++count;
    return count;
}

int assign_out_of_service() {
    virtual_fleet fleet{{entry_count, server_count, server_count / 2, 2}};
    fleet.submit(make_job(job_id(1), "ms=600", 40, whole_server));
    fleet.take_out_of_service("za-north-b");
    fleet.sim.run_for(duration{1000});
    const auto first_line = fleet.sim.log.size();
    fleet.sim.run_for(duration{3000});
    return count_events(fleet, first_line, "task_assigned", "za-north-b");
}

int start_delayed_orders() {
    virtual_fleet fleet{{entry_count, server_count, server_count / 2, 2}};
    for (int n = server_count / 2 + 1; n <= server_count; ++n)
        fleet.set_link_delay(fleet.owner_entry(), n, duration{2500});
    fleet.submit(make_job(job_id(1), "ms=600", server_count, whole_server));
    fleet.sim.run_for(duration{100});
    fleet.take_out_of_service("za-north-b");
    fleet.sim.run_for(duration{5000});
    return count_events(fleet, 0, "start_sent", "za-north-b");
}

std::vector<fault> all_faults() {
    std::vector<fault> all;
    for (const auto& group :
         {process_faults(), network_faults(), server_faults(), store_faults(),
          operator_requests()})
        all.insert(all.end(), group.begin(), group.end());
    return all;
}

void scenario::submit(const fleet::Submission& job, const std::string& key,
                      const std::string& path) {
    fleet.submit_async(
        job, 1 + static_cast<int>(submitted.size()) % entry_count, key, path);
    submitted.push_back(job.id());
}

void scenario::begin() {
    submit(make_job(job_id(1), "ms=400", 4, small), "kwela-key", "/normal/");
    submit(make_gang(job_id(2), "ms=1200", 3, large), "cwm-key", "/normal/");
    auto chain = make_job(job_id(3), "ms=300", 2, small);
    *chain.add_steps() = chain.steps(0);
    chain.mutable_steps(1)->add_after(0);
    submit(chain, "kwela-key", "/normal/");
    submit(make_gang(job_id(4), "ms=250", 2, large), "kwela-key", "/urgent/");
    submit(make_job(job_id(5), "ms=2500", 3, large), "cwm-key", "/normal/");
}

void scenario::finish() {
    for (int round = 0; round < 12; ++round) {
        fleet.resubmit_unknown();
        if (fleet.sim.run_until([this] { return is_over(); }, duration{5000}))
            return;
    }
}

bool scenario::is_over() const {
    for (const auto& id : submitted)
        if (fleet.state_at_any_entry(id) != fleet::JOB_COMPLETED)
            return false;
    return true;
}

std::vector<std::string> scenario::violations() const {
    auto found = fleet.history.violations;
    for (const auto& id : submitted)
        if (fleet.state_at_any_entry(id) != fleet::JOB_COMPLETED)
            found.push_back(id + " did not complete");
    return found;
}

std::vector<std::string> run_scenario(virtual_fleet& fleet,
                                      const fault& injected, int begin_ms) {
    scenario workload{fleet, {}};
    workload.begin();
    fleet.sim.run_for(duration{begin_ms});
    injected.begin(fleet);
    fleet.sim.run_for(injected.active_time);
    injected.end(fleet);
    workload.finish();
    return workload.violations();
}

} // namespace celerylift::test
