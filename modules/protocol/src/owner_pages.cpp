// Job records in the store: loading, fencing an earlier owner, and group
// commit. Each page has at most one write in flight; changes made meanwhile
// are batched into the next write.
#include "owner_internal.hpp"

#include <celerylift/mutant.hpp>

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace celerylift::protocol {

int page_of(const owner_state& owner, const std::string& job) {
    return static_cast<int>(XXH3_64bits(job.data(), job.size()) %
                            owner.pages.size());
}

std::string page_key(const owner_state& owner, int page) {
    return fmt::format("cell/{}/jobs/{}", owner.cell_name, page);
}

namespace {

int page_of_request(const owner_state& owner, std::uint64_t request) {
    for (std::size_t p = 0; p < owner.pages.size(); ++p) {
        if (owner.pages[p].request == request)
            return static_cast<int>(p);
    }
    return -1;
}

void read_page(const owner_context& c, int p) {
    auto& page = c.owner.pages[p];
    store_request get;
    get.op = store_op::get;
    get.key = page_key(c.owner, p);
    page.reading_back = true;
    page.request = call_store(c, std::move(get));
}

void back_off_page(const owner_context& c, page_state& page) {
    page.pause = next_backoff(page.pause);
    page.retry_at = c.now + page.pause;
}

wire::JobPage content_of(const owner_state& owner, const page_state& page) {
    wire::JobPage content;
    content.set_epoch(owner.epoch);
    content.set_write_id(page.write_id);
    for (const auto& id : page.jobs)
        *content.add_jobs() = owner.jobs.at(id).record;
    return content;
}

void write_page(const owner_context& c, int p) {
    auto& page = c.owner.pages[p];
    page.writing_version = page.version;
    page.write_id = fmt::format("{}/{}/{}", c.owner.self, c.owner.epoch,
                                c.owner.next_write++);
    store_request put;
    put.op = store_op::put;
    put.key = page_key(c.owner, p);
    put.value = content_of(c.owner, page).SerializeAsString();
    put.expected_revision = page.revision;
    page.bytes = put.value.size();
    page.reading_back = false;
    page.request = call_store(c, std::move(put));
}

void perform_step(const owner_context& c, const pending_step& step) {
    auto it = c.owner.jobs.find(step.job);
    if (it == c.owner.jobs.end())
        return;
    auto& job = it->second;
    switch (step.step) {
    case durable_step::admit:
        admit_job(c, job, true);
        break;
    case durable_step::start:
        if (auto run = c.owner.gangs.find(step.gang);
            run != c.owner.gangs.end() && job.gang == step.gang &&
            run->second.phase == gang_phase::intent)
            begin_start(c, run->second);
        break;
    case durable_step::announce:
        job.durable = true;
        announce_outcome(c, job);
        break;
    }
}

void page_is_durable(const owner_context& c, page_state& page) {
    page.durable_version = page.writing_version;
    page.writing_version = 0;
    page.pause = duration{0};
    page.fenced = true;
    auto steps = std::move(page.steps);
    page.steps.clear();
    for (auto& step : steps) {
        if (step.version <= page.durable_version)
            perform_step(c, step);
        else
            page.steps.push_back(std::move(step));
    }
}

/// Compares the stored page with a write that conflicted or whose reply was
/// lost, to find out whether the write took effect.
void reconcile_write(const owner_context& c, page_state& page,
                     const store_reply& reply) {
    wire::JobPage stored;
    if (!stored.ParseFromString(reply.value))
        return step_down(c, "a page of job records is unreadable");
    if (stored.epoch() > c.owner.epoch)
        return step_down(
            c, fmt::format("a page was fenced by epoch {}", stored.epoch()));
    page.revision = reply.revision;
    if (is_mutant("trust-lost-writes"))
        return page_is_durable(c, page);
    if (stored.write_id() == page.write_id)
        return page_is_durable(c, page);
    page.writing_version = 0;
}

void load_record(const owner_context& c, int p, const wire::JobRecord& record) {
    live_job job;
    job.record = record;
    job.page = p;
    job.durable = true;
    job.record.mutable_status()->set_durable(true);
    const auto age = duration{c.wall_ms - record.accepted_wall_ms()};
    job.accepted = c.now - std::max(duration{0}, age);
    job.finished = c.now;
    // Starts of repeatable jobs are not recorded, so they cannot be ruled out.
    const bool may_have_run =
        is_repeatable(job) || job.record.intent() || is_terminal(job);
    job.ran = may_have_run ? run_state::unknown : run_state::not_run;
    c.owner.pages[p].jobs.insert(record.spec().id());
    if (is_terminal(job))
        c.owner.finished.emplace_back(c.now, record.spec().id());
    c.owner.jobs.emplace(record.spec().id(), std::move(job));
}

void page_is_loaded(const owner_context& c, int p, const store_reply& reply) {
    auto& page = c.owner.pages[p];
    wire::JobPage stored;
    if (reply.status == store_status::ok &&
        !stored.ParseFromString(reply.value))
        return step_down(c, "a page of job records is unreadable");
    if (stored.epoch() > c.owner.epoch)
        return step_down(c, "a page has a higher epoch");
    page.revision = reply.revision;
    page.bytes = reply.value.size();
    page.reading_back = false;
    page.version = 1;
    for (const auto& id : page.jobs)
        c.owner.jobs.erase(id);
    page.jobs.clear();
    for (const auto& record : stored.jobs())
        load_record(c, p, record);
}

bool all_loaded(const owner_state& owner) {
    return owner.configuration.loaded &&
           std::all_of(owner.pages.begin(), owner.pages.end(),
                       [](const page_state& p) { return p.version > 0; });
}

void on_load_reply(const owner_context& c, int p, const store_reply& reply) {
    auto& page = c.owner.pages[p];
    if (reply.status == store_status::unavailable)
        return back_off_page(c, page);
    page_is_loaded(c, p, reply);
}

/// A fencing write conflicts if an earlier owner has written the page since it
/// was loaded. The page is loaded again, to include the jobs that the earlier
/// owner accepted.
void on_fencing_conflict(const owner_context& c, int p) {
    auto& page = c.owner.pages[p];
    page.version = 0;
    page.durable_version = 0;
    page.writing_version = 0;
    page.reading_back = false;
    change_phase(c, owner_phase::loading);
}

void on_write_reply(const owner_context& c, int p, const store_reply& reply) {
    auto& page = c.owner.pages[p];
    if (reply.status == store_status::ok) {
        page.revision = reply.revision;
        return page_is_durable(c, page);
    }
    if (reply.status == store_status::unavailable) {
        page.reading_back = true;
        return back_off_page(c, page);
    }
    if (!page.fenced && c.owner.phase != owner_phase::active)
        return on_fencing_conflict(c, p);
    read_page(c, p);
}

void on_read_back(const owner_context& c, int p, const store_reply& reply) {
    auto& page = c.owner.pages[p];
    if (reply.status == store_status::unavailable)
        return back_off_page(c, page);
    page.reading_back = false;
    if (reply.status == store_status::not_found) {
        page.revision = no_revision;
        page.writing_version = 0;
        return;
    }
    reconcile_write(c, page, reply);
}

} // namespace

void load_pages(const owner_context& c) {
    if (all_loaded(c.owner)) {
        change_phase(c, owner_phase::sealing);
        return fence_pages(c);
    }
    for (std::size_t p = 0; p < c.owner.pages.size(); ++p) {
        auto& page = c.owner.pages[p];
        if (page.version == 0 && page.request == 0 && page.retry_at <= c.now)
            read_page(c, static_cast<int>(p));
    }
}

void fence_pages(const owner_context& c) {
    flush_pages(c);
    const bool fenced = std::all_of(
        c.owner.pages.begin(), c.owner.pages.end(),
        [](const page_state& p) { return p.fenced && p.durable_version > 0; });
    if (!fenced)
        return;
    change_phase(c, owner_phase::collecting);
    announce_epoch(c);
}

bool on_page_reply(const owner_context& c, const store_reply& reply) {
    const int p = page_of_request(c.owner, reply.id);
    if (p < 0)
        return false;
    auto& page = c.owner.pages[p];
    page.request = 0;
    if (page.version == 0) {
        on_load_reply(c, p, reply);
        if (c.owner.phase == owner_phase::loading && all_loaded(c.owner))
            load_pages(c);
        return true;
    }
    if (page.reading_back)
        on_read_back(c, p, reply);
    else
        on_write_reply(c, p, reply);
    if (c.owner.phase == owner_phase::sealing)
        fence_pages(c);
    return true;
}

void mark_changed(const owner_context& c, live_job& job) {
    auto& page = c.owner.pages[job.page];
    if (page.version == page.durable_version)
        page.oldest_change = c.now;
    ++page.version;
}

void when_durable(const owner_context& c, live_job& job, durable_step step) {
    auto& page = c.owner.pages[job.page];
    page.steps.push_back({page.version, id_of(job), step, job.gang});
}

void flush_pages(const owner_context& c) {
    const bool writes = c.owner.phase == owner_phase::sealing ||
                        c.owner.phase == owner_phase::active ||
                        c.owner.phase == owner_phase::leaving ||
                        c.owner.phase == owner_phase::collecting;
    if (!writes)
        return;
    for (std::size_t p = 0; p < c.owner.pages.size(); ++p) {
        auto& page = c.owner.pages[p];
        if (page.request != 0 || page.retry_at > c.now)
            continue;
        if (page.reading_back)
            read_page(c, static_cast<int>(p));
        else if (page.version > page.durable_version)
            write_page(c, static_cast<int>(p));
    }
}

namespace {

/// Duration of a store outage after which work continues without the store.
constexpr duration outage_grace{500};

bool may_proceed(const owner_context& c, const pending_step& step) {
    const auto it = c.owner.jobs.find(step.job);
    return it != c.owner.jobs.end() && step.step == durable_step::admit &&
           is_repeatable(it->second) &&
           c.owner.volatile_jobs < max_volatile_jobs;
}

} // namespace

void proceed_without_store(const owner_context& c) {
    const auto since = c.owner.store_down_since;
    if (!since || c.now < *since + outage_grace)
        return;
    for (auto& page : c.owner.pages) {
        auto steps = std::move(page.steps);
        page.steps.clear();
        for (auto& step : steps) {
            auto it = c.owner.jobs.find(step.job);
            if (it != c.owner.jobs.end() && step.step == durable_step::announce)
                announce_outcome(c, it->second);
            if (may_proceed(c, step))
                admit_job(c, it->second, false);
            else
                page.steps.push_back(std::move(step));
        }
    }
}

} // namespace celerylift::protocol
