#include "owner_internal.hpp"

#include <celerylift/fleet/names.hpp>
#include <celerylift/mutant.hpp>

#include <algorithm>
#include <utility>

namespace celerylift::fleet {

namespace {

constexpr duration write_timeout{1000};
constexpr duration retry_pause{100};
constexpr int most_writes_in_flight = 4;

/// Each job takes a condition and a value, and the owner's key a condition.
constexpr std::size_t most_jobs_in_write = (most_transaction_entries - 1) / 2;

/// One job as it is being written.
struct written_job {
    std::string id;
    std::uint64_t version = 0;
    std::string value;
};

std::vector<written_job> take_changed_jobs(owner& o) {
    std::vector<written_job> batch;
    for (auto it = o.unwritten_jobs.begin();
         it != o.unwritten_jobs.end() && batch.size() < most_jobs_in_write;) {
        const auto found = o.jobs.find(*it);
        if (found != o.jobs.end() && found->second.write_in_flight) {
            ++it;
            continue;
        }
        if (found != o.jobs.end() &&
            found->second.version != found->second.stored_version) {
            auto& j = found->second;
            j.write_in_flight = true;
            batch.push_back({*it, j.version, to_record(j).SerializeAsString()});
        }
        it = o.unwritten_jobs.erase(it);
    }
    return batch;
}

store_transaction transaction_for(const owner& o,
                                  const std::vector<written_job>& batch) {
    store_transaction write;
    // Fails once another process owns the cell. The condition on each record
    // keeps a write whose reply was lost from undoing a later one.
    write.expected.push_back({std::string(owner_key), o.epoch});
    for (const auto& written : batch) {
        const auto& j = o.jobs.at(written.id);
        const auto key = job_key(written.id, job_part::progress);
        write.expected.push_back({key, j.record_revision});
        write.puts.push_back({key, written.value, 0});
    }
    return write;
}

void take_revisions(owner& o, const std::vector<written_job>& batch,
                    const std::vector<store_item>& current) {
    for (const auto& written : batch) {
        auto it = o.jobs.find(written.id);
        if (it == o.jobs.end())
            continue;
        const auto key = job_key(written.id, job_part::progress);
        const auto item = std::ranges::find(current, key, &store_item::key);
        it->second.record_revision = item == current.end() ? 0 : item->revision;
    }
}

void mark_stored(owner& o, const std::vector<written_job>& batch,
                 std::int64_t revision) {

    for (const auto& written : batch) {
        auto it = o.jobs.find(written.id);
        if (it == o.jobs.end())
            continue;
        auto& j = it->second;
        j.record_revision = revision;
        const auto before = std::exchange(j.stored_version, written.version);
        // Only the starts that have waited for this record.
        for (const auto& at : j.occurrences)
            for (const auto& s : at.steps)
                for (const auto& t : s.tasks)
                    if (t.phase == task_phase::assigned &&
                        t.assigned_version > before &&
                        t.assigned_version <= written.version)
                        o.agents_to_update.insert(t.agent);
    }
    for (auto& [agent, s] : o.servers)
        if (!s.unstored_ends.empty())
            acknowledge_stored_ends(o, s);
    // Last: whoever is shown the records may look at the jobs.
    std::vector<store_item> items;
    items.reserve(batch.size());
    for (const auto& written : batch)
        items.push_back(
            {job_key(written.id, job_part::progress), written.value, revision});
    o.on_records_written(items);
}

void take_write(owner& o, const std::vector<written_job>& batch,
                const transaction_reply& reply) {
    for (const auto& written : batch)
        if (auto it = o.jobs.find(written.id); it != o.jobs.end()) {
            it->second.write_in_flight = false;
            o.unwritten_jobs.insert(written.id);
        }
    if (reply.status == store_status::ok)
        mark_stored(o, batch, reply.revision);
    else if (reply.status == store_status::conflict)
        take_revisions(o, batch, reply.current);
    if (reply.status != store_status::ok) {
        o.next_write_at = o.run.now() + retry_pause;
        o.run.journal.event("write_failed",
                            {{"jobs", batch.size()},
                             {"status", static_cast<int>(reply.status)},
                             {"epoch", o.epoch}});
        o.run.metrics.count("owner_writes_failed_total");
    }
    process_changes(o);
}

} // namespace

void acknowledge_stored_ends(owner& o, server& s) {
    while (!s.unstored_ends.empty()) {
        const auto& end = s.unstored_ends.front();
        const auto it = o.jobs.find(end.job);
        if (it != o.jobs.end() && it->second.stored_version < end.version &&
            !is_mutant("forget-ends-unstored"))
            return;
        s.acknowledged_up_to = std::max(s.acknowledged_up_to, end.number);
        s.unstored_ends.pop_front();
        o.agents_to_update.insert(s.agent);
    }
}

void write_changes(owner& o) {
    while (o.writes_in_flight < most_writes_in_flight &&
           o.run.now() >= o.next_write_at) {
        const auto batch = take_changed_jobs(o);
        if (batch.empty())
            return;
        ++o.writes_in_flight;
        o.records.transact(
            transaction_for(o, batch), write_timeout,
            [&o, batch, epoch = o.epoch](const transaction_reply& reply) {
                --o.writes_in_flight;
                if (o.epoch == epoch)
                    take_write(o, batch, reply);
            });
    }
}

namespace {

void add_start(const job& j, const task& t, OwnerOrders& orders) {
    const auto& step = step_of(j, t.name);
    auto* start = orders.add_assigned();
    start->mutable_name()->set_task(to_string(t.name));
    start->mutable_name()->set_run(t.run);
    to_record(need_of(step), start->mutable_each());
    start->set_seen(t.seen_running);
    if (t.seen_running)
        return;
    start->set_payload(j.submission.payload());
    start->set_checkpoint(t.checkpoint);
}

void add_stop(const std::string& name, int run, OwnerOrders& orders) {
    auto* stop = orders.add_stops();
    stop->set_task(name);
    stop->set_run(run);
}

/// Runs that the records know nothing of are leftovers of an earlier owner.
void add_leftovers(const owner& o, const server& s, OwnerOrders& orders) {
    for (const auto& running : s.running) {
        const auto name = parse_task_name(running.name().task());
        const auto it = name ? o.jobs.find(name->job) : o.jobs.end();
        const auto* t =
            it == o.jobs.end() ? nullptr : find_task(it->second, *name);
        const bool wanted = t && t->phase == task_phase::assigned &&
                            t->agent == s.agent &&
                            t->run == running.name().run() && !t->ended_in_gang;
        // The members of a gang end one after the other.
        const bool ends_now = t && t->phase == task_phase::done &&
                              t->completed_run == running.name().run();
        if (!wanted && !ends_now)
            add_stop(running.name().task(), running.name().run(), orders);
    }
}

OwnerOrders orders_for(owner& o, server& s) {
    OwnerOrders orders;
    orders.set_epoch(o.epoch);
    orders.set_incarnation(s.state.incarnation());
    orders.set_noted_end(s.acknowledged_up_to);
    if (s.has_reported && o.is_valid()) {
        orders.set_answered_sent_at_ms(s.answered_sent_at_ms);
        orders.set_grant_ms(grant_duration.count());
        s.granted_until =
            std::max(s.granted_until, end_of_grant(s.last_report_at));
    }
    for (const auto& [name, held] : s.assigned) {
        const auto& t = *held.task_ref;
        if (t.ended_in_gang || t.incarnation != s.state.incarnation())
            continue;
        if (t.stopping)
            add_stop(to_string(name), t.run, orders);
        else if (held.job_ref->stored_version >= t.assigned_version ||
                 is_mutant("start-without-record"))
            add_start(*held.job_ref, t, orders);
    }
    add_leftovers(o, s, orders);
    return orders;
}

} // namespace

void send_orders(owner& o) {
    const auto agents = std::exchange(o.agents_to_update, {});
    for (const auto& agent : agents) {
        auto it = o.servers.find(agent);
        if (it != o.servers.end() && it->second.has_reported)
            o.send(agent, orders_for(o, it->second));
    }
}

} // namespace celerylift::fleet
