#pragma once

#include "simulation.hpp"
#include "virtual_store.hpp"

#include <celerylift/fleet/owner.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace celerylift::test {

/// The owner of a fleet without agents: the fixture makes up their reports, and
/// the store answers in virtual time. Each server has eight accelerators, and
/// each rack has sixteen servers.
class owner_fixture {
public:
    explicit owner_fixture(int servers);

    /// Adds a stored job of one step.
    void add_job(const std::string& id, const std::string& queue, int tasks,
                 fleet::resources each, bool gang, bool same_rack = false);

    /// Marks a server as degraded for a time, as slow servers are.
    void mark_degraded(int server, duration time);

    /// Reports a server that runs everything it was ordered to start.
    void report(int server);
    /// Reports that the first runs of a server have ended successfully.
    void complete(int server, int runs);
    void report_all();

    /// Runs the owner's timers and the store's replies for a time.
    void run_for(duration time) { sim.run_for(time); }

    /// Replaces the owner by the owner of the next epoch.
    void take_over();

    int assigned_tasks() const;
    /// The numbers of the servers that a job's tasks are assigned to, in order.
    std::vector<int> servers_of(const std::string& job) const;

    simulation sim;
    virtual_process process{"owner", sim.now, sim.log};
    virtual_store store{sim};
    std::unique_ptr<fleet::store> client =
        store.client("owner", process.liveness());
    std::map<std::string, fleet::OwnerOrders> orders; // The latest, by agent.
    /// What the agents have kept of an earlier owner, by server.
    std::map<int, fleet::SpeedEstimate> kept_speeds;
    fleet::owner owner;
    /// Of the jobs that are added from now on.
    std::string organisation = "kwela";
    duration declared_run_time{60'000};
    duration time_since_submission{0};

private:
    fleet::AgentReport make_report(int server);

    int servers_;
    std::map<int, std::int64_t> ends_; // By server.
    fleet::job_index jobs_;
};

} // namespace celerylift::test
