#include "owner_internal.hpp"

#include <celerylift/fleet/names.hpp>
#include <celerylift/mutant.hpp>

#include <algorithm>
#include <utility>

namespace celerylift::fleet {

namespace {

constexpr duration retry_pause{100};
constexpr int max_writes_in_flight = 4;

/// Records in flight together, unless a single one is larger. More would hold
/// up the renewal of the owner's lease on a narrow link.
constexpr std::size_t max_bytes_in_flight = 64UL * 1024;

/// A write of less than this has time enough on a narrow link too. It is not
/// answered because the answer was lost, which more time does not help.
constexpr std::size_t long_write_bytes = 16UL * 1024;

/// Each job takes one condition and one value. The owner's key takes one more
/// condition.
constexpr std::size_t max_jobs_per_write = (max_transaction_entries - 1) / 2;

/// The version and the encoded record of a job in a write.
struct job_write {
    std::string id;
    std::uint64_t version = 0;
    std::string value;
};

std::size_t size_of(const std::vector<job_write>& batch) {
    std::size_t bytes = 0;
    for (const auto& written : batch)
        bytes += written.value.size();
    return bytes;
}

bool is_held(const owner& self, const job& job) {
    return self.run.now() < job.write_held_until && !is_final(job.state);
}

std::vector<job_write> collect_changed_jobs(owner& self) {
    std::vector<job_write> batch;
    for (auto it = self.unwritten_jobs.begin();
         it != self.unwritten_jobs.end() && batch.size() < max_jobs_per_write &&
         self.bytes_in_flight + size_of(batch) < max_bytes_in_flight;) {
        const auto found = self.jobs.find(*it);
        if (found != self.jobs.end() &&
            (found->second.write_in_flight || is_held(self, found->second))) {
            ++it;
            continue;
        }
        if (found != self.jobs.end() &&
            found->second.version != found->second.stored_version) {
            auto& job = found->second;
            job.write_in_flight = true;
            batch.push_back(
                {*it, job.version, to_record(job).SerializeAsString()});
        }
        it = self.unwritten_jobs.erase(it);
    }
    return batch;
}

store_transaction transaction_for(const owner& self,
                                  const std::vector<job_write>& batch) {
    store_transaction write;
    // The write fails once another process owns the cell. The condition on each
    // record keeps a write whose reply was lost from undoing a later one.
    write.expected.push_back({std::string(owner_key), self.epoch});
    for (const auto& written : batch) {
        const auto& job = self.jobs.at(written.id);
        const auto key = job_key(written.id, job_part::progress);
        write.expected.push_back({key, job.record_revision});
        write.puts.push_back({key, written.value, 0});
    }
    return write;
}

void apply_revisions(owner& self, const std::vector<job_write>& batch,
                     const std::vector<store_item>& current) {
    for (const auto& written : batch) {
        auto it = self.jobs.find(written.id);
        if (it == self.jobs.end())
            continue;
        const auto key = job_key(written.id, job_part::progress);
        const auto item = std::ranges::find(current, key, &store_item::key);
        it->second.record_revision = item == current.end() ? 0 : item->revision;
    }
}

void mark_stored(owner& self, const std::vector<job_write>& batch,
                 std::int64_t revision) {

    for (const auto& written : batch) {
        auto it = self.jobs.find(written.id);
        if (it == self.jobs.end())
            continue;
        auto& job = it->second;
        job.record_revision = revision;
        const auto previous_version =
            std::exchange(job.stored_version, written.version);
        // Only agents with starts that have waited for this record get orders.
        for (const auto& occurrence : job.occurrences)
            for (const auto& step : occurrence.steps)
                for (const auto& task : step.tasks)
                    if (task.phase == task_phase::assigned &&
                        task.assigned_version > previous_version &&
                        task.assigned_version <= written.version)
                        self.agents_to_update.insert(task.agent);
    }
    for (auto& [agent, server] : self.servers)
        if (!server.unstored_ends.empty())
            acknowledge_stored_ends(self, server);
    // Comes last, because the callback may read the jobs.
    std::vector<store_item> items;
    items.reserve(batch.size());
    for (const auto& written : batch)
        items.push_back(
            {job_key(written.id, job_part::progress), written.value, revision});
    self.on_records_written(items);
}

void adapt_write_timeout(owner& self, const std::vector<job_write>& batch,
                         time_point sent_at, store_status status) {
    if (status == store_status::ok)
        self.write_timeout.shrink();
    else if (status == store_status::unknown &&
             size_of(batch) >= long_write_bytes &&
             self.run.now() >= sent_at + self.write_timeout.value())
        self.write_timeout.grow();
}

void handle_write_reply(owner& self, const std::vector<job_write>& batch,
                        const transaction_reply& reply) {
    for (const auto& written : batch)
        if (auto it = self.jobs.find(written.id); it != self.jobs.end()) {
            it->second.write_in_flight = false;
            self.unwritten_jobs.insert(written.id);
        }
    if (reply.status == store_status::ok)
        mark_stored(self, batch, reply.revision);
    else if (reply.status == store_status::conflict)
        apply_revisions(self, batch, reply.current);
    if (reply.status != store_status::ok) {
        self.next_write_at = self.run.now() + retry_pause;
        self.run.journal.event(
            "write_failed", {{"jobs", batch.size()},
                             {"bytes", size_of(batch)},
                             {"status", static_cast<int>(reply.status)},
                             {"timeout_ms", self.write_timeout.value().count()},
                             {"epoch", self.epoch}});
        self.run.metrics.count("owner_writes_failed_total");
    }
    process_changes(self);
}

} // namespace

void acknowledge_stored_ends(owner& self, server& server) {
    while (!server.unstored_ends.empty()) {
        const auto& end = server.unstored_ends.front();
        const auto it = self.jobs.find(end.job);
        if (it != self.jobs.end() && it->second.stored_version < end.version &&
            !is_mutant("forget-ends-unstored"))
            return;
        server.acknowledged_up_to =
            std::max(server.acknowledged_up_to, end.number);
        server.unstored_ends.pop_front();
        self.agents_to_update.insert(server.agent);
    }
}

void write_changes(owner& self) {
    while (self.writes_in_flight < max_writes_in_flight &&
           self.run.now() >= self.next_write_at) {
        const auto batch = collect_changed_jobs(self);
        if (batch.empty())
            return;
        ++self.writes_in_flight;
        self.bytes_in_flight += size_of(batch);
        self.records.transact(
            transaction_for(self, batch), self.write_timeout.value(),
            [&self, batch, epoch = self.epoch,
             sent_at = self.run.now()](const transaction_reply& reply) {
                --self.writes_in_flight;
                self.bytes_in_flight -= size_of(batch);
                adapt_write_timeout(self, batch, sent_at, reply.status);
                if (self.epoch == epoch)
                    handle_write_reply(self, batch, reply);
            });
    }
}

namespace {

void add_start(const server& server, const job& job, const task& task,
               OwnerOrders& orders) {
    const auto& step = step_of(job, task.name);
    const bool shares_payload =
        server.reads_shared_payloads && !task.seen_running;
    auto* start = shares_payload ? orders.add_assigned_sharing_payloads()
                                 : orders.add_assigned();
    start->mutable_name()->set_task(to_string(task.name));
    start->mutable_name()->set_run(task.run);
    to_record(need_of(step), start->mutable_each());
    start->set_seen(task.seen_running);
    if (task.seen_running)
        return;
    start->set_checkpoint(task.checkpoint);
    if (shares_payload)
        (*orders.mutable_payloads())[task.name.job] = job.submission.payload();
    else
        start->set_payload(job.submission.payload());
}

void add_stop(const std::string& name, int run, OwnerOrders& orders) {
    auto* stop = orders.add_stops();
    stop->set_task(name);
    stop->set_run(run);
}

/// Stops runs that are not on record. They are left over from an earlier owner.
void add_stops_of_unrecorded_runs(const owner& self, const server& server,
                                  OwnerOrders& orders) {
    for (const auto& running : server.running) {
        const auto name = parse_task_name(running.name().task());
        const auto it = name ? self.jobs.find(name->job) : self.jobs.end();
        const auto* task =
            it == self.jobs.end() ? nullptr : find_task(it->second, *name);
        const bool is_current = task && task->phase == task_phase::assigned &&
                                task->agent == server.agent &&
                                task->run == running.name().run() &&
                                !task->ended_in_gang;
        // The members of a gang that is done end one after the other.
        const bool is_ending =
            task && task->completed_run == running.name().run();
        if (!is_current && !is_ending)
            add_stop(running.name().task(), running.name().run(), orders);
    }
}

OwnerOrders orders_for(owner& self, server& server) {
    OwnerOrders orders;
    orders.set_epoch(self.epoch);
    orders.set_incarnation(server.state.incarnation());
    orders.set_noted_end(server.acknowledged_up_to);
    orders.mutable_recorded_crashes()->Assign(server.recorded_crashes.begin(),
                                              server.recorded_crashes.end());
    if (self.evacuations.is_followed) {
        orders.set_evacuations_as_of(self.evacuations.state.as_of);
        orders.set_is_evacuated(
            is_out_of_service(self.evacuations.state, server.failure_domain));
    }
    if (server.is_named && self.is_valid()) {
        orders.set_answered_sent_at_ms(server.answered_sent_at_ms);
        orders.set_grant_ms(grant_duration.count());
        server.granted_until =
            std::max(server.granted_until, end_of_grant(server.last_report_at));
    }
    if (server.speed.weight > 0 &&
        speeds_of(self, server.state.service()).is_uneven) {
        orders.mutable_speed()->set_log_slowness(server.speed.log_slowness);
        orders.mutable_speed()->set_weight(server.speed.weight);
    }
    for (const auto& [name, assigned] : server.assigned) {
        const auto& task = *assigned.task_ref;
        if (task.ended_in_gang ||
            task.incarnation != server.state.incarnation())
            continue;
        if (task.stopping)
            add_stop(to_string(name), task.run, orders);
        else if (assigned.job_ref->stored_version >= task.assigned_version ||
                 is_mutant("start-without-record"))
            add_start(server, *assigned.job_ref, task, orders);
    }
    add_stops_of_unrecorded_runs(self, server, orders);
    return orders;
}

} // namespace

void send_orders(owner& self) {
    const auto agents = std::exchange(self.agents_to_update, {});
    for (const auto& agent : agents) {
        auto it = self.servers.find(agent);
        if (it != self.servers.end() && it->second.has_reported)
            self.send(agent, orders_for(self, it->second));
    }
}

} // namespace celerylift::fleet
