// Calls of the public API.
#include "owner_internal.hpp"

#include <celerylift/kernel/queue.hpp>

#include <algorithm>
#include <fmt/format.h>
#include <xxhash.h>

namespace celerylift::protocol {

namespace {

constexpr duration overloaded_retry{1000};

error no_such_job(const std::string& id) {
    return {error_kind::not_found,
            fmt::format("job '{}' is not known; outcomes are kept for {} "
                        "minutes",
                        id, outcome_retention.count() / 60'000),
            run_state::unknown, duration{0}};
}

std::uint64_t hash_of(const api::JobSpec& spec) {
    const auto bytes = spec.SerializeAsString();
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::optional<error> check_store(const owner_context& c,
                                 const api::JobSpec& spec) {
    if (!store_is_down(c.owner))
        return std::nullopt;
    if (spec.not_repeatable())
        return error{error_kind::unavailable,
                     "the platform's store is down, so a job that must not "
                     "be repeated cannot be recorded; retry later",
                     run_state::not_run, overloaded_retry};
    if (c.owner.volatile_jobs >= max_volatile_jobs)
        return error{error_kind::overloaded,
                     fmt::format("the platform's store is down and {} jobs "
                                 "are kept in memory already; retry later",
                                 c.owner.volatile_jobs),
                     run_state::not_run, overloaded_retry};
    return std::nullopt;
}

std::optional<error> check_page(const owner_context& c, int page,
                                const api::JobSpec& spec) {
    const auto size = c.owner.pages[page].bytes + spec.ByteSizeLong();
    if (size < max_open_page_bytes)
        return std::nullopt;
    return error{error_kind::overloaded,
                 "the page for the job's record is full; retry when older "
                 "outcomes have been dropped",
                 run_state::not_run, overloaded_retry * 10};
}

void resubmit(const owner_context& c, const caller& who,
              const api::JobSpec& spec, live_job& job) {
    if (job.record.spec_hash() != hash_of(spec))
        return reply_error(
            c, who,
            {error_kind::invalid_argument,
             fmt::format("id '{}' belongs to a different job; choose another "
                         "id",
                         spec.id()),
             run_state::not_run, duration{0}});
    if (job.record.status().state() == api::ACCEPTED) {
        job.submitters.push_back(who);
        return;
    }
    wire::ApiReply answer;
    *answer.mutable_job() = status_of(c.owner, job);
    reply(c, who, std::move(answer));
}

live_job& record_job(const owner_context& c, const api::JobSpec& spec,
                     int page) {
    live_job job;
    *job.record.mutable_spec() = spec;
    job.record.mutable_status()->set_id(spec.id());
    job.record.set_accepted_wall_ms(c.wall_ms);
    job.record.set_spec_hash(hash_of(spec));
    job.page = page;
    job.accepted = c.now;
    c.owner.pages[page].jobs.insert(spec.id());
    c.owner.pages[page].bytes += spec.ByteSizeLong();
    auto& live = c.owner.jobs.emplace(spec.id(), std::move(job)).first->second;
    set_state(c, live, api::ACCEPTED, spec.organisation());
    if (spec.deadline_ms() > 0)
        c.owner.deadlines.emplace(c.now + duration{spec.deadline_ms()},
                                  spec.id());
    return live;
}

void submit(const owner_context& c, const caller& who,
            const api::JobSpec& spec) {
    if (auto it = c.owner.jobs.find(spec.id()); it != c.owner.jobs.end())
        return resubmit(c, who, spec, it->second);
    auto refused = check(spec);
    if (!refused)
        refused = kernel::check_admission(c.owner.cell, from_api(spec));
    const int page = page_of(c.owner, spec.id());
    if (!refused)
        refused = check_store(c, spec);
    if (!refused)
        refused = check_page(c, page, spec);
    if (refused) {
        note(c, "job_refused", spec.id(), refused->message);
        return reply_error(c, who, *refused);
    }
    auto& job = record_job(c, spec, page);
    job.submitters.push_back(who);
    mark_changed(c, job);
    when_durable(c, job, durable_step::admit);
}

void wait_job(const owner_context& c, const caller& who,
              const api::WaitJobRequest& request) {
    auto it = c.owner.jobs.find(request.id());
    if (it == c.owner.jobs.end())
        return reply_error(c, who, no_such_job(request.id()));
    auto& job = it->second;
    const auto timeout =
        std::clamp(duration{request.timeout_ms()}, duration{0}, max_call_wait);
    const bool outcome_available =
        is_terminal(job) && (job.durable || store_is_down(c.owner));
    if (outcome_available || timeout.count() == 0) {
        wire::ApiReply answer;
        *answer.mutable_job() = status_of(c.owner, job);
        return reply(c, who, std::move(answer));
    }
    const bool waits =
        std::any_of(job.waiters.begin(), job.waiters.end(),
                    [&](const waiter& w) { return w.who == who; });
    if (!waits)
        job.waiters.push_back({who, c.now + timeout});
    c.owner.with_waiters.insert(request.id());
}

void get_job(const owner_context& c, const caller& who, const std::string& id) {
    auto it = c.owner.jobs.find(id);
    if (it == c.owner.jobs.end())
        return reply_error(c, who, no_such_job(id));
    wire::ApiReply answer;
    *answer.mutable_job() = status_of(c.owner, it->second);
    reply(c, who, std::move(answer));
}

void cancel(const owner_context& c, const caller& who, const std::string& id) {
    auto it = c.owner.jobs.find(id);
    if (it == c.owner.jobs.end())
        return reply_error(c, who, no_such_job(id));
    cancel_job(c, it->second,
               {error_kind::cancelled, "the caller cancelled the job",
                run_state::not_run, duration{0}});
    wait_job(c, who, [&] {
        api::WaitJobRequest wait;
        wait.set_id(id);
        wait.set_timeout_ms(max_call_wait.count());
        return wait;
    }());
}

const char* state_name(const kernel::backend_state& b, time_point now) {
    if (b.unresponsive)
        return "silent";
    if (b.leaving)
        return "leaving";
    if (b.draining)
        return "draining";
    return b.open_until && *b.open_until > now ? "failing" : "ready";
}

void list_backends(const owner_context& c, const caller& who) {
    wire::ApiReply answer;
    auto* list = answer.mutable_backends();
    for (const auto& [id, b] : c.owner.cell.backends.backends) {
        auto* out = list->add_backends();
        out->set_id(id);
        out->set_service(b.spec.service);
        out->set_agent(b.spec.agent);
        out->set_slots(b.spec.slots);
        out->set_used(b.used);
        out->set_state(state_name(b, c.now));
    }
    reply(c, who, std::move(answer));
}

const char* state_name(const kernel::worker_state& w) {
    if (!w.usable)
        return "silent";
    if (w.draining)
        return "draining";
    return w.quarantined_until ? "quarantined" : "ready";
}

void list_workers(const owner_context& c, const caller& who) {
    wire::ApiReply answer;
    auto* list = answer.mutable_workers();
    for (const auto& w : c.owner.cell.workers) {
        auto* out = list->add_workers();
        out->set_id(w.spec.id);
        out->set_rack(w.spec.rack);
        out->set_failure_domain(w.spec.failure_domain);
        out->set_accelerators(w.spec.accelerators);
        out->set_used(w.used);
        out->set_state(state_name(w));
        const auto& agent = c.owner.worker_agent.at(w.spec.id);
        out->set_configuration_revision(
            c.owner.agents.at(agent).configuration_revision);
    }
    reply(c, who, std::move(answer));
}

void fill_usage(const owner_state& owner, const std::string& name,
                api::OrganisationState& out) {
    auto it = owner.cell.organisation_index.find(name);
    if (it == owner.cell.organisation_index.end())
        return;
    const auto& org = owner.cell.organisations[it->second];
    int guaranteed = 0;
    int used = 0;
    int blocks_without_home = 0;
    for (int b : org.blocks) {
        const auto& block = owner.cell.blocks[b];
        guaranteed += kernel::total_accelerators(block.shape);
        bool lost = false;
        for (std::size_t i = 0; i < block.home.size(); ++i) {
            used += block.used[i];
            lost = lost || block.home[i].worker < 0;
        }
        blocks_without_home += lost ? 1 : 0;
    }
    out.set_guaranteed_accelerators(guaranteed);
    out.set_used_in_guarantee(used);
    out.set_borrowed(org.borrowed);
    out.set_jobs_waiting(org.waiting);
    out.set_blocks_without_home(blocks_without_home);
}

void list_organisations(const owner_context& c, const caller& who) {
    wire::ApiReply answer;
    auto* list = answer.mutable_organisations();
    for (const auto& record : c.owner.configuration.current.organisations()) {
        auto* out = list->add_organisations();
        *out->mutable_organisation() = record.organisation();
        out->set_revision(record.revision());
        fill_usage(c.owner, record.organisation().name(), *out);
    }
    reply(c, who, std::move(answer));
}

void get_configuration(const owner_context& c, const caller& who) {
    wire::ApiReply answer;
    const auto& current = c.owner.configuration.current;
    auto* out = answer.mutable_configuration();
    out->set_revision(current.revision());
    *out->mutable_settings() = current.settings();
    *out->mutable_drained() = current.drained();
    reply(c, who, std::move(answer));
}

void show_cell(const owner_context& c, const caller& who) {
    wire::ApiReply answer;
    auto* out = answer.mutable_cell();
    out->set_cell(c.owner.cell_name);
    out->set_owner(c.owner.self);
    out->set_epoch(c.owner.epoch);
    out->set_phase(name_of(c.owner.phase));
    int responsive_agents = 0;
    for (const auto& [name, view] : c.owner.agents)
        responsive_agents += view.unresponsive ? 0 : 1;
    out->set_agents(responsive_agents);
    out->set_configuration_revision(c.owner.configuration.current.revision());
    out->set_takeover_ms(c.owner.takeover_ms);
    reply(c, who, std::move(answer));
}

void explain(const owner_context& c, const caller& who, const std::string& id) {
    if (!c.owner.jobs.contains(id))
        return reply_error(c, who, no_such_job(id));
    start_query(c, who, id, true, 0);
}

void dispatch(const owner_context& c, const caller& who,
              const wire::ApiCall& call) {
    switch (call.request_case()) {
    case wire::ApiCall::kSubmitJob:
        return submit(c, who, call.submit_job().job());
    case wire::ApiCall::kWaitJob:
        return wait_job(c, who, call.wait_job());
    case wire::ApiCall::kGetJob:
        return get_job(c, who, call.get_job().id());
    case wire::ApiCall::kCancelJob:
        return cancel(c, who, call.cancel_job().id());
    case wire::ApiCall::kListBackends:
        return list_backends(c, who);
    case wire::ApiCall::kListWorkers:
        return list_workers(c, who);
    case wire::ApiCall::kListOrganisations:
        return list_organisations(c, who);
    case wire::ApiCall::kGetConfiguration:
        return get_configuration(c, who);
    case wire::ApiCall::kShowCell:
        return show_cell(c, who);
    case wire::ApiCall::kExplain:
        return explain(c, who, call.explain().id());
    case wire::ApiCall::kGetTimeLine:
        return start_query(c, who, call.get_time_line().subject(), false,
                           call.get_time_line().limit());
    case wire::ApiCall::kPutOrganisation:
    case wire::ApiCall::kRemoveOrganisation:
    case wire::ApiCall::kSetConfiguration:
    case wire::ApiCall::kDrain:
        return queue_configuration(c, who, call);
    case wire::ApiCall::REQUEST_NOT_SET:
        break;
    }
    reply_error(c, who,
                {error_kind::invalid_argument,
                 "the call has an unknown type; use the schema of this version",
                 run_state::not_run, duration{0}});
}

} // namespace

void on_call(const owner_context& c, const caller& who,
             const wire::ApiCall& call) {
    const bool shows_cell = call.request_case() == wire::ApiCall::kShowCell;
    if (c.owner.phase != owner_phase::active && !shows_cell) {
        const bool leaves = c.owner.phase == owner_phase::leaving ||
                            c.owner.phase == owner_phase::deposed;
        if (leaves || c.owner.early_calls.size() >= max_queued_calls)
            return; // The entry sends the call again, to the next owner.
        c.owner.early_calls.emplace_back(who, call);
        return;
    }
    dispatch(c, who, call);
    run_schedule(c);
    flush_pages(c);
}

} // namespace celerylift::protocol
