#include "owner_internal.hpp"

namespace celerylift::fleet {

namespace {

/// For how long a service goes on to pack by the mix once no work waits for
/// room. Tasks run for some seconds, so what is placed within this time still
/// decides how much fits in the next burst.
constexpr duration packing_time{10'000};

/// The capacity of an average server of a service.
resources average_server(const service_capacity& capacity) {
    return {capacity.total.millicores / capacity.servers,
            capacity.total.memory_mb / capacity.servers,
            capacity.total.accelerators / capacity.servers};
}

} // namespace

void record_demand(owner& self, const job& job) {
    const auto* queue = queue_of(self, job);
    if (!queue)
        return;
    for (const auto& step : job.submission.steps())
        add_demand(self.demand[queue->service].mix, need_of(step), step.count(),
                   job.submission.submitted_unix_ms());
}

void rebuild_demand(owner& self) {
    self.demand.clear();
    for (const auto& [id, job] : self.jobs)
        record_demand(self, job);
}

const shape_costs* packing_costs(const owner& self,
                                 const std::string& service) {
    const auto it = self.demand.find(service);
    return it == self.demand.end() || it->second.costs.empty()
               ? nullptr
               : &it->second.costs;
}

void update_packing(owner& self, const std::string& service,
                    const service_capacity& capacity, const resources& waiting,
                    bool lacks_room) {
    auto& demand = self.demand[service];
    demand.costs.clear();
    if (lacks_room)
        demand.packs_until = self.run.now() + packing_time;
    if (!self.policy.pack_by_mix || capacity.servers == 0 ||
        self.run.now() >= demand.packs_until)
        return;
    const auto idle_server = average_server(capacity);
    auto wanted = capacity.total;
    wanted -= capacity.free;
    wanted += waiting;
    if (!is_limited_by_host(demand.mix, idle_server, wanted, capacity.total))
        return;
    demand.costs = costs_of(demand.mix, idle_server);
    self.run.metrics.count("passes_packed_by_mix_total");
    if (is_due(self, demand.next_event))
        self.run.journal.event("packing_by_mix",
                               {{"service", service},
                                {"shapes", demand.costs.size()},
                                {"memory_mb_wanted", wanted.memory_mb},
                                {"memory_mb", capacity.total.memory_mb},
                                {"millicores_wanted", wanted.millicores},
                                {"millicores", capacity.total.millicores}});
}

} // namespace celerylift::fleet
