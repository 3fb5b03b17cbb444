#include "job_api_internal.hpp"

#include <celerylift/fleet/jobs.hpp>
#include <celerylift/fleet/names.hpp>

#include <fmt/format.h>

namespace celerylift::fleet {

namespace {

/// When a caller should return whose job has no room: jobs end within seconds,
/// and are removed minutes later.
constexpr duration no_room_return{8'000};

constexpr std::size_t max_payload_bytes = 4000;
constexpr int max_steps = 64;
constexpr int max_tasks_in_step = 8'000;
/// Over all steps and occurrences. The progress record of a job is one value of
/// the store, which accepts a megabyte, and a task takes about a hundred bytes.
constexpr std::int64_t max_tasks_in_job = 8'000;

/// Summarises the steps of a job in one line for the journal.
std::string describe(const Submission& job) {
    std::string text;
    for (const auto& step : job.steps())
        text += fmt::format(
            "{}{}x{}m/{}MB/{}acc{}{}{}{}", text.empty() ? "" : " then ",
            step.count(), step.each().millicores(), step.each().memory_mb(),
            step.each().accelerators(), step.gang() ? " gang" : "",
            step.same_rack() ? " rack" : "",
            step.checkpointable() ? " checkpointable" : "",
            step.affinity_rack().empty() ? ""
                                         : " near " + step.affinity_rack());
    return text;
}

void store_submission(const call_ptr& call, const Submission& job);

void give_up_submission(const call_ptr& call) {
    if (call->unanswered_writes > 0)
        return finish(
            call, "hand_in",
            make_answer(answer_kind::outcome_unknown,
                        "the store did not answer; submit the same job again"));
    finish(call, "hand_in",
           make_answer(answer_kind::not_run,
                       "the store accepts no writes; submit the job later",
                       advised_return(call->api)));
}

/// Whether a cancellation concerns the job that a call submits.
bool concerns(const pending_call& call, const std::string& cancellation) {
    if (!is_withdrawal(cancellation))
        return true;
    const auto withdrawn = parse_withdrawal(cancellation).organisations;
    return std::ranges::any_of(
        withdrawing_organisations(call),
        [&](const auto& own) { return withdrawn.contains(own); });
}

/// The job is stored already, or it was withdrawn.
void handle_submission_conflict(const call_ptr& call, const Submission& job,
                                const transaction_reply& reply) {
    for (const auto& item : reply.current)
        call->api.observe(item);
    // This call or an earlier one has already stored the job.
    if (find_item(reply, job_key(call->id, job_part::submission)))
        return finish(call, "hand_in", make_answer(answer_kind::accepted, ""));
    const auto* mark =
        find_item(reply, job_key(call->id, job_part::cancellation));
    call->expected_withdrawal = mark ? mark->revision : 0;
    if (mark && concerns(*call, mark->value)) {
        call->api.run.metrics.count("submissions_of_withdrawn_jobs_total");
        return finish(call, "hand_in",
                      make_answer(answer_kind::not_run,
                                  "the job was cancelled before it was "
                                  "accepted; submit it under another id",
                                  withdrawal_lease_ttl));
    }
    if (call->has_time())
        return store_submission(call, job);
    give_up_submission(call);
}

void handle_submission_reply(const call_ptr& call, const Submission& job,
                             const transaction_reply& reply) {
    if (reply.status == store_status::ok) {
        call->api.observe({job_key(call->id, job_part::submission),
                           job.SerializeAsString(), reply.revision});
        call->api.run.journal.event(
            "job_stored", {{"job", call->id},
                           {"queue", job.queue()},
                           {"organisation", job.organisation()},
                           {"steps", describe(job)},
                           {"estimate_ms", job.steps(0).estimate_ms()},
                           {"revision", reply.revision}});
        return finish(call, "hand_in", make_answer(answer_kind::accepted, ""));
    }
    if (reply.status == store_status::conflict)
        return handle_submission_conflict(call, job, reply);
    call->unanswered_writes += reply.status == store_status::unknown ? 1 : 0;
    if (call->has_time())
        return retry_later(call, [call, job] { store_submission(call, job); });
    give_up_submission(call);
}

void store_submission(const call_ptr& call, const Submission& job) {
    switch (decide_write(call->api.outage(), call->api.run.now(),
                         call->retry_by())) {
    case write_decision::hold:
        return retry_later(call, [call, job] { store_submission(call, job); });
    case write_decision::reject:
        return give_up_submission(call);
    case write_decision::send:
        break;
    }
    const auto key = job_key(call->id, job_part::submission);
    store_transaction write;
    write.expected.push_back({key, 0});
    write.expected.push_back(
        {job_key(call->id, job_part::cancellation), call->expected_withdrawal});
    write.puts.push_back({key, job.SerializeAsString(), 0});
    ++call->writes;
    call->api.records.transact(write, call->timeout(),
                               [call, job](const transaction_reply& reply) {
                                   handle_submission_reply(call, job, reply);
                               });
}

std::string validation_error(const Step& step, int number) {
    if (step.count() < 1 || step.count() > max_tasks_in_step)
        return fmt::format("step {}: count is {}; allowed is 1 to {}", number,
                           step.count(), max_tasks_in_step);
    if (step.each().millicores() < 0 || step.each().memory_mb() < 0 ||
        step.each().accelerators() < 0)
        return fmt::format("step {}: a resource is negative", number);
    for (const auto earlier : step.after())
        if (earlier < 0 || earlier >= number)
            return fmt::format(
                "step {}: waits for step {}; only earlier steps are allowed",
                number, earlier);
    return "";
}

} // namespace

std::string validation_error(const Submission& job) {
    if (job.steps_size() == 0 || job.steps_size() > max_steps)
        return fmt::format("the job has {} steps; allowed is 1 to {}",
                           job.steps_size(), max_steps);
    if (job.payload().size() > max_payload_bytes)
        return fmt::format("the payload has {} bytes; allowed is {}",
                           job.payload().size(), max_payload_bytes);
    for (int i = 0; i < job.steps_size(); ++i)
        if (auto problem = validation_error(job.steps(i), i); !problem.empty())
            return problem;
    const std::int64_t occurrences = std::max(1, job.occurrences());
    const auto tasks = task_count(job) / occurrences;
    if (tasks * occurrences > max_tasks_in_job)
        return fmt::format(
            "the job has {} tasks in {} occurrences; allowed are {} in total; "
            "split the job",
            tasks, occurrences, max_tasks_in_job);
    return "";
}

namespace {

/// Why a valid job is refused.
struct job_refusal {
    const char* why = ""; // For counters and the journal.
    std::string message;
    duration retry_after{0};
};

bool has_room_for_large(const job_api& api, const Submission& job) {
    const auto size = job.ByteSizeLong();
    return size <= large_submission_bytes ||
           api.jobs->large_bytes + size <= api.max_large_bytes;
}

/// Adds up to a half, so that refused callers do not return together.
duration spread(job_api& api, duration wait) {
    const auto share = std::uniform_real_distribution<>{0, 0.5}(api.random);
    return wait + duration{static_cast<std::int64_t>(
                      share * static_cast<double>(wait.count()))};
}

/// Checks what the cell would hold with the job.
std::optional<job_refusal> find_exceeded(job_api& api, const Submission& job) {
    if (!has_room_for_large(api, job))
        return job_refusal{"large",
                           "the cell holds as many large jobs as it can; "
                           "submit the job later, or a smaller one",
                           no_room_return};
    auto all = api.jobs->accepted.all;
    all += api.in_flight.all;
    auto own = totals_of(api.jobs->accepted, job.organisation());
    own += totals_of(api.in_flight, job.organisation());
    const auto found =
        find_exceeded(api.limits, all, own, totals_of(job, job.ByteSizeLong()));
    if (!found)
        return std::nullopt;
    return job_refusal{
        to_string(found->bound),
        fmt::format("{} {} {}, and may hold {}; submit the job later, or a "
                    "smaller one",
                    found->of_organisation
                        ? "the organisation's jobs on record have"
                        : "the jobs on record have",
                    found->held, to_string(found->bound), found->limit),
        spread(api, no_room_return)};
}

void record_refusal(const call_ptr& call, const job_refusal& refusal) {
    const auto& held = call->api.jobs->accepted.all;
    call->api.run.metrics.count(
        fmt::format("jobs_refused_total{{why=\"{}\"}}", refusal.why));
    call->api.run.journal.event(
        "job_refused", {{"job", call->id},
                        {"queue", call->access.queue.name},
                        {"organisation", call->access.organisation},
                        {"why", refusal.why},
                        {"message", refusal.message},
                        {"retry_after_ms", refusal.retry_after.count()},
                        {"jobs_on_record", held.jobs},
                        {"tasks_on_record", held.tasks},
                        {"bytes_on_record", held.bytes}});
}

/// Whether an organisation holds its equal share of the tasks on record.
bool has_large_share(const job_api& api, const std::string& organisation) {
    const auto& held = api.jobs->accepted;
    const auto organisations =
        static_cast<std::int64_t>(held.by_organisation.size());
    return totals_of(held, organisation).tasks * organisations >=
           held.all.tasks;
}

/// Checks whether the servers could run the job in time.
std::optional<job_refusal> find_hopeless(job_api& api, const Submission& job,
                                         const queue_config& queue) {
    if (!api.refuse_by_load)
        return std::nullopt;
    const auto found =
        refuse_by_load(api.load, job, queue,
                       has_large_share(api, job.organisation()), api.run.now());
    if (!found)
        return std::nullopt;
    if (found->is_too_large)
        return job_refusal{"oversized",
                           "a task needs more than any server of the service "
                           "has; submit smaller tasks",
                           spread(api, found->retry_after)};
    return job_refusal{
        "late",
        fmt::format("the service is occupied for {} ms, and the job would end "
                    "too late if it waited for over {} ms; submit it later",
                    found->drain.count(), found->max_wait.count()),
        spread(api, found->retry_after)};
}

/// Refuses a job, unless it is on record: the entry's own view of the records
/// may lag behind, and a job on record is not refused.
void refuse(const call_ptr& call, const job_refusal& refusal) {
    call->api.records.read(
        job_key(call->id, job_part::submission), call->timeout(),
        [call, refusal](const read_reply& reply) {
            if (reply.status == store_status::ok) {
                call->api.observe(reply.item);
                return finish(call, "hand_in",
                              make_answer(answer_kind::accepted, ""));
            }
            if (reply.status == store_status::not_found) {
                record_refusal(call, refusal);
                return finish(call, "hand_in",
                              make_answer(answer_kind::not_run, refusal.message,
                                          refusal.retry_after));
            }
            if (call->has_time())
                return retry_later(call,
                                   [call, refusal] { refuse(call, refusal); });
            give_up_submission(call);
        });
}

/// Counts a job as one that is being written, until its call is answered.
void store_new_job(const call_ptr& call, const Submission& job) {
    call->in_flight.emplace(job.organisation(),
                            totals_of(job, job.ByteSizeLong()));
    add(call->api.in_flight, call->in_flight->first, call->in_flight->second);
    store_submission(call, job);
}

} // namespace

void submit(job_api& api, const caller& from, const result<Submission>& job,
            answer_callback done) {
    const auto* decoded = std::get_if<Submission>(&job);
    const auto call =
        begin(api, from, decoded ? decoded->id() : "", std::move(done));
    const auto access = admit(api, from);
    if (const auto* refusal = std::get_if<answer>(&access))
        return finish(call, "hand_in", *refusal);
    if (const auto* failure = error_of(job))
        return finish(call, "hand_in",
                      make_answer(answer_kind::invalid, failure->message));
    call->access = std::get<admission>(access);
    const auto& admitted = call->access;
    if (auto problem = validation_error(*decoded); !problem.empty())
        return finish(call, "hand_in",
                      make_answer(answer_kind::invalid, problem));
    if (admitted.queue.needs_advice)
        return finish(
            call, "hand_in",
            make_answer(answer_kind::not_run,
                        "queues that need advice are not served yet; use "
                        "another queue",
                        duration{60'000}));
    if (shown_state(*api.jobs, call->id))
        return finish(call, "hand_in", make_answer(answer_kind::accepted, ""));
    if (api.ends_at && !call->has_time())
        return finish(call, "hand_in",
                      make_answer(answer_kind::not_run,
                                  "this entry is stopping; use another entry"));
    auto complete = *decoded;
    complete.set_queue(admitted.queue.name);
    *complete.mutable_terms() = to_record(admitted.queue);
    complete.set_expected_no_withdrawal(true);
    complete.set_organisation(admitted.organisation);
    complete.set_submitted_unix_ms(api.run.unix_ms());
    if (const auto refusal = find_exceeded(api, complete))
        return refuse(call, *refusal);
    if (const auto refusal = find_hopeless(api, complete, admitted.queue))
        return refuse(call, *refusal);
    store_new_job(call, complete);
}

void show_state(job_api& api, const caller& from, const std::string& id,
                answer_callback done) {
    const auto call = begin(api, from, id, std::move(done));
    const auto access = admit(api, from);
    if (const auto* refusal = std::get_if<answer>(&access))
        return finish(call, "show", *refusal);
    call->access = std::get<admission>(access);
    find_job(
        call, "show",
        [call] {
            auto reply = make_answer(answer_kind::shown, "");
            reply.state =
                shown_state(*call->api.jobs, call->id).value_or(JOB_PENDING);
            finish(call, "show", reply);
        },
        [call] { answer_unknown(call, "show"); });
}

void count_waiting(job_api& api, const caller& from, answer_callback done) {
    const auto call = begin(api, from, "", std::move(done));
    const auto access = admit(api, from);
    if (const auto* refusal = std::get_if<answer>(&access))
        return finish(call, "count", *refusal);
    auto reply = make_answer(answer_kind::counted, "");
    reply.waiting =
        waiting_jobs(*api.jobs, *api.config, std::get<admission>(access).queue);
    finish(call, "count", reply);
}

} // namespace celerylift::fleet
