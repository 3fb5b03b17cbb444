#include "owner_fixture.hpp"

#include <celerylift/fleet/names.hpp>

#include <fmt/format.h>

namespace celerylift::test {

namespace {

constexpr int servers_per_rack = 16;
constexpr fleet::resources whole_server{128'000, 512'000, 8};

std::string agent_name(int server) {
    return fmt::format("agent-{:04}", server);
}

std::shared_ptr<const fleet::fleet_config> make_config() {
    fleet::fleet_config config;
    config.version = 1;
    config.queues.push_back(
        {"urgent", "host", "/urgent/", "order-desk", 0, 2, 1.5, duration{250}});
    config.queues.push_back({"normal", "host", "/normal/", "order-desk", 1, 2,
                             3.0, duration{1000}});
    config.organisations.push_back({"kwela", {"kwela-key"}, 64});
    config.organisations.push_back({"cwm", {"cwm-key"}, 0});
    return std::make_shared<const fleet::fleet_config>(config);
}

} // namespace

owner_fixture::owner_fixture(int servers)
    : owner{process.runtime, *client, [] { return true; },
            [this](const std::string& agent, const fleet::OwnerOrders& latest) {
                orders[agent] = latest;
            },
            [](const std::vector<fleet::store_item>&) {}},
      servers_(servers) {
    sim.add(&process);
    store.put(std::string(fleet::owner_key), "this owner");
    owner.config = make_config();
    activate(owner, store.get(std::string(fleet::owner_key))->revision, jobs_,
             {});
    run_for(duration{100});
    report_all();
    run_for(duration{100});
}

void owner_fixture::add_job(const std::string& id, const std::string& queue,
                            int tasks, fleet::resources each, bool gang,
                            bool same_rack) {
    fleet::stored_job stored;
    auto& job = stored.submission.emplace();
    job.set_id(id);
    job.set_queue(queue);
    job.set_organisation(organisation);
    job.set_submitted_unix_ms(process.runtime.unix_ms() -
                              time_since_submission.count());
    auto* step = job.add_steps();
    step->set_count(tasks);
    to_record(each, step->mutable_each());
    step->set_estimate_ms(declared_run_time.count());
    step->set_gang(gang);
    step->set_same_rack(same_rack);
    on_job_changed(owner, stored);
    process_changes(owner);
}

void owner_fixture::mark_degraded(int server, duration time) {
    owner.servers.at(agent_name(server)).health.degraded_until = sim.now + time;
}

fleet::AgentReport owner_fixture::make_report(int server) {
    fleet::AgentReport report;
    const auto agent = agent_name(server);
    report.set_failure_domain("za-north-a");
    report.set_sent_at_ms(sim.now.time_since_epoch().count());
    report.set_followed_epoch(owner.epoch);
    report.set_lists_as_of_ms(sim.now.time_since_epoch().count());
    auto* state = report.mutable_server();
    state->set_incarnation(agent + "@1");
    state->set_service("order-desk");
    state->set_rack(fmt::format("rack-{}", server / servers_per_rack));
    to_record(whole_server, state->mutable_capacity());
    if (const auto kept = kept_speeds.find(server); kept != kept_speeds.end())
        *state->mutable_speed() = kept->second;
    for (const auto& start : orders[agent].assigned())
        *report.add_running()->mutable_name() = start.name();
    return report;
}

void owner_fixture::report(int server) {
    on_report(owner, agent_name(server), make_report(server));
}

void owner_fixture::complete(int server, int runs) {
    auto report = make_report(server);
    for (int n = 0; n < runs; ++n) {
        auto* end = report.add_ended();
        *end->mutable_name() = report.running(n).name();
        end->set_how(fleet::RUN_DONE);
        end->set_number(++ends_[server]);
    }
    report.mutable_running()->DeleteSubrange(0, runs);
    on_report(owner, agent_name(server), report);
}

void owner_fixture::report_all() {
    for (int n = 0; n < servers_; ++n)
        report(n);
}

void owner_fixture::take_over() {
    store.put(std::string(fleet::owner_key), "the next owner");
    activate(owner, store.get(std::string(fleet::owner_key))->revision, jobs_,
             {});
    report_all();
    run_for(duration{600});
    report_all();
}

std::vector<int> owner_fixture::servers_of(const std::string& job) const {
    std::vector<int> found;
    for (int n = 0; n < servers_; ++n) {
        const auto it = owner.servers.find(agent_name(n));
        if (it == owner.servers.end())
            continue;
        for (const auto& [name, assigned] : it->second.assigned)
            if (name.job == job)
                found.push_back(n);
    }
    return found;
}

int owner_fixture::assigned_tasks() const {
    std::size_t count = 0;
    for (const auto& [agent, server] : owner.servers)
        count += server.assigned.size();
    return static_cast<int>(count);
}

} // namespace celerylift::test
