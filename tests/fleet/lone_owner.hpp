#pragma once

#include "virtual_store.hpp"
#include "virtual_world.hpp"

#include <celerylift/fleet/owner.hpp>

#include <map>
#include <memory>
#include <string>

namespace celerylift::test {

/// An owner of a large fleet without its agents: reports are made up, and the
/// store answers in virtual time. Each server has eight accelerators, sixteen
/// servers are in a rack.
class lone_owner {
public:
    explicit lone_owner(int servers);

    /// Hands in a job of one step.
    void add_job(const std::string& id, const std::string& queue, int tasks,
                 fleet::resources each, bool gang, bool same_rack = false);

    /// Makes a server look slow for a while.
    void distrust(int server, duration time);

    /// The report of a server that runs all it was told to start.
    void report(int server);
    void report_all();

    /// Lets time pass: the owner's timers and its store's replies.
    void run_for(duration time) { world.run_for(time); }

    int assigned_tasks() const;

    virtual_world world;
    virtual_process process{"owner", world.now, world.log};
    virtual_store store{world};
    std::unique_ptr<fleet::store> records =
        store.client("owner", process.life());
    std::map<std::string, fleet::OwnerOrders> orders; // The last of each agent.
    fleet::owner decisions;

private:
    int servers_;
    fleet::job_index jobs_;
};

} // namespace celerylift::test
