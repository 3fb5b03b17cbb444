#include "owner_internal.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace celerylift::fleet {

namespace {

/// Whether the configuration names a service. A configuration without services
/// says nothing about them.
bool has_service(const fleet_config& config, const std::string& service) {
    return config.services.empty() ||
           std::ranges::find(config.services, service, &service_config::name) !=
               config.services.end();
}

/// The open jobs of a queue that was removed, or that lacks its service.
struct stranded_jobs {
    std::int64_t count = 0;
    std::int64_t without_terms = 0;
    std::string service;
};

void record_terms(owner& self, job& job, const queue_config& queue) {
    // Who may submit to the queue does not concern the jobs that it has.
    auto recorded = from_record(to_record(queue), queue.name);
    if (job.recorded_queue == recorded)
        return;
    job.recorded_queue = std::move(recorded);
    mark_changed(self, job);
}

} // namespace

void record_missing_terms(owner& self, job& job) {
    if (job.recorded_queue || is_final(job.state))
        return;
    if (const auto* queue = queue_in_force(self, job))
        record_terms(self, job, *queue);
}

void record_terms_of_removed_queues(owner& self, const fleet_config& next) {
    for (auto& [id, job] : self.jobs) {
        const auto* queue = queue_in_force(self, job);
        if (queue && !is_final(job.state) && !find_queue(next, queue->name))
            record_terms(self, job, *queue);
    }
}

void report_removed_queues(const owner& self) {
    if (!self.config)
        return;
    std::map<std::string, stranded_jobs> stranded;
    for (const auto& [id, job] : self.jobs) {
        const auto* queue = queue_of(self, job);
        const bool is_served = queue && queue_in_force(self, job) &&
                               has_service(*self.config, queue->service);
        if (is_final(job.state) || is_served)
            continue;
        auto& found = stranded[job.submission.queue()];
        ++found.count;
        if (queue)
            found.service = queue->service;
        else
            ++found.without_terms;
    }
    std::int64_t without_terms = 0;
    for (const auto& [name, found] : stranded) {
        without_terms += found.without_terms;
        self.run.journal.event(
            "jobs_of_removed_queue",
            {{"queue", name},
             {"jobs", found.count},
             {"jobs_without_terms", found.without_terms},
             {"service", found.service},
             {"service_exists", has_service(*self.config, found.service)},
             {"config", self.config->version}});
    }
    self.run.metrics.gauge("jobs_without_terms",
                           static_cast<double>(without_terms));
}

} // namespace celerylift::fleet
