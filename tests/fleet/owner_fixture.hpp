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

private:
    int servers_;
    fleet::job_index jobs_;
};

} // namespace celerylift::test
