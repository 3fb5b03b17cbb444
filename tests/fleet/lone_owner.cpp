#include "lone_owner.hpp"

#include <celerylift/fleet/names.hpp>

#include <fmt/format.h>

namespace celerylift::test {

namespace {

constexpr int servers_per_rack = 16;
constexpr fleet::resources whole_server{128'000, 512'000, 8};

std::string agent_of(int server) {
    return fmt::format("agent-{:04}", server);
}

std::shared_ptr<const fleet::fleet_config> two_queues() {
    fleet::fleet_config config;
    config.version = 1;
    config.queues.push_back(
        {"urgent", "host", "/urgent/", "order-desk", 0, 2, 1.5, duration{250}});
    config.queues.push_back({"normal", "host", "/normal/", "order-desk", 1, 2,
                             3.0, duration{1000}});
    config.organisations.push_back({"kwela", {"kwela-key"}, 64});
    return std::make_shared<const fleet::fleet_config>(config);
}

} // namespace

lone_owner::lone_owner(int servers)
    : decisions{process.runtime, *records, [] { return true; },
                [this](const std::string& agent, const fleet::OwnerOrders& o) {
                    orders[agent] = o;
                },
                [](const std::vector<fleet::store_item>&) {}},
      servers_(servers) {
    sim.add(&process);
    store.put(std::string(fleet::owner_key), "this owner");
    decisions.config = two_queues();
    activate(decisions, store.get(std::string(fleet::owner_key))->revision,
             jobs_, {});
    run_for(duration{100});
    report_all();
    run_for(duration{100});
}

void lone_owner::add_job(const std::string& id, const std::string& queue,
                         int tasks, fleet::resources each, bool gang,
                         bool same_rack) {
    fleet::stored_job stored;
    auto& job = stored.submission.emplace();
    job.set_id(id);
    job.set_queue(queue);
    job.set_organisation("kwela");
    job.set_submitted_unix_ms(process.runtime.unix_ms());
    auto* step = job.add_steps();
    step->set_count(tasks);
    to_record(each, step->mutable_each());
    step->set_estimate_ms(60'000);
    step->set_gang(gang);
    step->set_same_rack(same_rack);
    on_job_changed(decisions, stored);
    process_changes(decisions);
}

void lone_owner::distrust(int server, duration time) {
    decisions.servers.at(agent_of(server)).health.degraded_until =
        sim.now + time;
}

void lone_owner::report(int server) {
    fleet::AgentReport report;
    const auto agent = agent_of(server);
    report.set_failure_domain("za-north-a");
    report.set_sent_at_ms(sim.now.time_since_epoch().count());
    report.set_followed_epoch(decisions.epoch);
    report.set_lists_as_of_ms(sim.now.time_since_epoch().count());
    auto* state = report.mutable_server();
    state->set_incarnation(agent + "@1");
    state->set_service("order-desk");
    state->set_rack(fmt::format("rack-{}", server / servers_per_rack));
    to_record(whole_server, state->mutable_capacity());
    for (const auto& start : orders[agent].assigned())
        *report.add_running()->mutable_name() = start.name();
    on_report(decisions, agent, report);
}

void lone_owner::report_all() {
    for (int n = 0; n < servers_; ++n)
        report(n);
}

int lone_owner::assigned_tasks() const {
    std::size_t count = 0;
    for (const auto& [agent, s] : decisions.servers)
        count += s.assigned.size();
    return static_cast<int>(count);
}

} // namespace celerylift::test
