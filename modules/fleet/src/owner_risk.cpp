#include "owner_internal.hpp"

namespace celerylift::fleet {

void note_restart(owner& self, server& server) {
    const auto now = self.run.now();
    record_restart(server.history, now);
    const auto common_since =
        add_restart(self.restarts, server.agent, self.servers.size(), now);
    if (!common_since)
        return;
    for (auto& [agent, other] : self.servers)
        disregard_restarts(other.history, *common_since);
}

void check_risks(owner& self) {
    if (!self.policy.avoid_risky_servers)
        return;
    const auto now = self.run.now();
    int risky = 0;
    for (auto& [agent, server] : self.servers) {
        const int before = server.known_risk;
        server.known_risk = risk_class(server.history, now);
        risky += server.known_risk > no_risk ? 1 : 0;
        if (server.known_risk <= before)
            continue;
        self.run.journal.event(
            "server_at_risk",
            {{"agent", agent},
             {"incarnation", server.state.incarnation()},
             {"risk", server.known_risk},
             {"restarts", server.history.restarts.size()},
             {"early_failures", server.history.early_failures.size()},
             {"stalls", server.history.stalls.size()},
             {"draining", server.history.draining}});
        self.run.metrics.count("server_risks_raised_total");
    }
    self.run.metrics.gauge("servers_at_risk", static_cast<double>(risky));
}

} // namespace celerylift::fleet
