#include "agent_internal.hpp"

#include <algorithm>
#include <set>

namespace celerylift::fleet {

namespace {

/// Bounds the crashes kept while no owner records them.
constexpr std::size_t max_crashes = 32;

std::set<run_key> active_runs(const agent& self) {
    std::set<run_key> active;
    for (const auto& running : self.running)
        active.insert({running.name().task(), running.name().run()});
    for (const auto& [key, order] : self.orders)
        if (order.may_have_begun)
            active.insert(key);
    for (const auto& ended : self.ended)
        active.erase({ended.name().task(), ended.name().run()});
    return active;
}

} // namespace

void record_crash(agent& self) {
    const bool gave_notice =
        self.last_heartbeat.draining || self.has_announced_end;
    if (self.incarnation.empty() || gave_notice)
        return;
    const auto active = active_runs(self);
    self.run.journal.event("server_crashed", {{"incarnation", self.incarnation},
                                              {"active_runs", active.size()}});
    if (active.empty())
        return;
    ServerCrash crash;
    crash.set_incarnation(self.incarnation);
    for (const auto& key : active) {
        auto* name = crash.add_active_runs();
        name->set_task(key.task);
        name->set_run(key.run);
    }
    if (self.crashes.size() == max_crashes)
        self.crashes.erase(self.crashes.begin());
    self.crashes.push_back(std::move(crash));
}

void forget_recorded_crashes(agent& self, const OwnerOrders& orders) {
    std::erase_if(self.crashes, [&](const ServerCrash& crash) {
        return std::ranges::find(orders.recorded_crashes(),
                                 crash.incarnation()) !=
               orders.recorded_crashes().end();
    });
}

} // namespace celerylift::fleet
