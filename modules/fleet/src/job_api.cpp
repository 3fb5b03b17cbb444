#include <celerylift/fleet/job_api.hpp>

#include <celerylift/fleet/jobs.hpp>
#include <celerylift/fleet/names.hpp>

#include <algorithm>
#include <fmt/format.h>
#include <optional>
#include <set>
#include <utility>
#include <variant>

namespace celerylift::fleet {

namespace {

constexpr duration store_timeout{700};
constexpr duration store_retry_period{100};

/// The part of a caller's timeout that is reserved for returning the answer.
constexpr duration answer_reserve{150};

/// When a caller should return whose job has no room: jobs end within seconds,
/// and are removed minutes later.
constexpr duration no_room_return{8'000};

constexpr std::size_t max_payload_bytes = 4000;
constexpr int max_steps = 64;
constexpr int max_tasks_in_step = 8'000;
/// Over all steps and occurrences. The progress record of a job is one value of
/// the store, which accepts a megabyte, and a task takes about a hundred bytes.
constexpr std::int64_t max_tasks_in_job = 8'000;

struct admission {
    queue_config queue;
    std::string organisation; // Empty for a public queue without a key.
};

answer make_answer(answer_kind kind, std::string message,
                   duration retry_after = {}) {
    answer reply;
    reply.kind = kind;
    reply.message = std::move(message);
    reply.retry_after = retry_after;
    return reply;
}

/// When a caller should return that is rejected now.
duration advised_return(job_api& api) {
    return retry_after(api.outage(), api.run.now(),
                       std::uniform_real_distribution<>{0, 1}(api.random));
}

std::variant<admission, answer> admit(job_api& api, const caller& from) {
    if (!api.config)
        return make_answer(
            answer_kind::unavailable,
            "this entry has not read its configuration yet; use another entry",
            advised_return(api));
    const auto* queue = find_queue(*api.config, from.host, from.path);
    if (!queue)
        return make_answer(answer_kind::unknown_queue,
                           "no queue has this host and path; check both");
    const auto* organisation = find_organisation_by_key(*api.config, from.key);
    if (!organisation && !queue->is_public)
        return make_answer(
            answer_kind::unauthorised,
            "no organisation has this API key; ask the operators for a key");
    return admission{*queue, organisation ? organisation->name : ""};
}

/// A call whose store operation is retried until the caller's deadline.
struct pending_call {
    job_api& api;
    caller from;
    std::string id;
    answer_callback done;
    time_point started_at{};
    admission access{};
    int writes = 0;
    /// Each may have taken effect, or may still do so.
    int unanswered_writes = 0;
    /// The revision of a withdrawal by other organisations, which does not
    /// concern the caller's job. 0: there is none.
    std::int64_t foreign_withdrawal = 0;
    /// What the call stores if it withdraws a job.
    withdrawal own_withdrawal{};
    /// What the job adds to the jobs that are being written, by organisation.
    std::optional<std::pair<std::string, accepted_totals>> in_flight{};

    /// Until when the call is to be answered.
    time_point answer_by() const {
        return std::min(from.deadline, api.ends_at.value_or(from.deadline)) -
               answer_reserve;
    }
    /// Until when another attempt can still be answered in time.
    time_point retry_by() const { return answer_by() - store_retry_period; }
    bool has_time() const { return api.run.now() < retry_by(); }
    duration timeout() const {
        const auto remaining = answer_by() - api.run.now();
        return std::max(duration{50}, std::min(store_timeout, remaining));
    }
};

using call_ptr = std::shared_ptr<pending_call>;

call_ptr begin(job_api& api, const caller& from, const std::string& id,
               answer_callback done) {
    return std::make_shared<pending_call>(
        pending_call{api, from, id, std::move(done), api.run.now()});
}

void finish(const call_ptr& call, const char* verb, const answer& reply) {
    if (const auto written = std::exchange(call->in_flight, std::nullopt))
        remove(call->api.in_flight, written->first, written->second);
    const auto took_ms = (call->api.run.now() - call->started_at).count();
    call->api.run.journal.event(
        "call_answered",
        {{"verb", verb},
         {"job", call->id},
         {"answer", static_cast<int>(reply.kind)},
         {"message", reply.message},
         {"took_ms", took_ms},
         {"writes", call->writes},
         {"unanswered_writes", call->unanswered_writes},
         {"config", call->api.config ? call->api.config->version : 0}});
    call->api.run.metrics.observe(fmt::format("{}_ms", verb),
                                  static_cast<double>(took_ms));
    call->api.run.metrics.count(
        fmt::format("calls_total{{verb=\"{}\",answer=\"{}\"}}", verb,
                    static_cast<int>(reply.kind)));
    call->done(reply);
}

void retry_later(const call_ptr& call, std::function<void()> step) {
    call->api.run.timers.once(call->api.run.now() + store_retry_period,
                              [step = std::move(step)](time_point) { step(); });
}

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

const store_item* find_item(const transaction_reply& reply,
                            const std::string& key) {
    const auto item = std::ranges::find(reply.current, key, &store_item::key);
    return item == reply.current.end() ? nullptr : &*item;
}

/// The organisations for which a call withdraws a job, or submits it. Callers
/// of a public queue share the jobs that they submit to it.
std::set<std::string> withdrawing_organisations(const pending_call& call) {
    std::set<std::string> found{call.access.organisation};
    if (call.access.queue.is_public)
        found.emplace();
    return found;
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
    call->foreign_withdrawal = mark ? mark->revision : 0;
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
        {job_key(call->id, job_part::cancellation), call->foreign_withdrawal});
    write.puts.push_back({key, job.SerializeAsString(), 0});
    ++call->writes;
    call->api.records.transact(write, call->timeout(),
                               [call, job](const transaction_reply& reply) {
                                   handle_submission_reply(call, job, reply);
                               });
}

/// Whether the caller may know of a job: it is of the caller's organisation, or
/// of a queue or a time at which no key was asked for.
bool may_access(const pending_call& call) {
    const auto found = call.api.jobs->jobs.find(call.id);
    if (call.access.queue.is_public || found == call.api.jobs->jobs.end() ||
        !found->second.submission)
        return true;
    const auto& organisation = found->second.submission->organisation();
    return organisation.empty() || organisation == call.access.organisation;
}

void answer_unknown(const call_ptr& call, const char* verb) {
    finish(call, verb,
           make_answer(answer_kind::unknown_job, "no such job was accepted"));
}

/// Calls `found` once it is certain that the job was accepted and that the
/// caller may know of it, or `missing` once it is certain that it is not on
/// record.
void find_job(const call_ptr& call, const char* verb,
              std::function<void()> found, std::function<void()> missing) {
    if (shown_state(*call->api.jobs, call->id))
        return may_access(*call) ? found() : answer_unknown(call, verb);
    call->api.records.read(
        job_key(call->id, job_part::submission), call->timeout(),
        [call, verb, found = std::move(found),
         missing = std::move(missing)](const read_reply& reply) {
            if (reply.status == store_status::not_found)
                return missing();
            if (reply.status == store_status::ok) {
                call->api.observe(reply.item);
                return may_access(*call) ? found() : answer_unknown(call, verb);
            }
            if (call->has_time())
                return retry_later(call, [call, verb, found, missing] {
                    find_job(call, verb, found, missing);
                });
            finish(call, verb,
                   make_answer(answer_kind::unavailable,
                               "the store did not answer; try again",
                               advised_return(call->api)));
        });
}

void find_and_cancel(const call_ptr& call);
void withdraw(const call_ptr& call);

/// What a caller is told whose cancellation was not stored in time.
void give_up_cancellation(const call_ptr& call) {
    if (call->unanswered_writes > 0)
        return finish(call, "cancel",
                      make_answer(answer_kind::outcome_unknown,
                                  "the store did not answer; cancel again"));
    finish(call, "cancel",
           make_answer(answer_kind::unavailable,
                       "the store accepts no writes; cancel again",
                       advised_return(call->api)));
}

/// Expects the submission, so that a write that is carried out late leaves no
/// cancellation behind of a job that is not on record any more.
void store_cancellation(const call_ptr& call) {
    const auto known = call->api.jobs->jobs.find(call->id);
    if (known == call->api.jobs->jobs.end() || !known->second.submission)
        return find_and_cancel(call);
    store_transaction write;
    write.expected.push_back({job_key(call->id, job_part::submission),
                              known->second.submission_revision});
    write.puts.push_back(
        {job_key(call->id, job_part::cancellation), "cancelled", 0});
    ++call->writes;
    call->api.records.transact(
        write, call->timeout(), [call](const transaction_reply& reply) {
            if (reply.status == store_status::ok) {
                call->api.observe({job_key(call->id, job_part::cancellation),
                                   "cancelled", reply.revision});
                return finish(call, "cancel",
                              make_answer(answer_kind::accepted, ""));
            }
            call->unanswered_writes +=
                reply.status == store_status::unknown ? 1 : 0;
            if (!call->has_time())
                return give_up_cancellation(call);
            if (reply.status != store_status::conflict)
                return retry_later(call, [call] { store_cancellation(call); });
            for (const auto& item : reply.current)
                call->api.observe(item);
            if (reply.current.empty())
                return withdraw(call); // The job's records have been removed.
            store_cancellation(call);
        });
}

/// Calls `then` once the entry has a lease for withdrawals, or has failed to
/// get one.
void request_withdrawal_lease(job_api& api, duration timeout,
                              std::function<void()> then) {
    auto& state = api.withdrawn;
    state.awaiting_lease.push_back(std::move(then));
    if (std::exchange(state.lease_requested, true))
        return;
    api.records.grant_lease(
        withdrawal_lease_ttl, timeout,
        [&api, sent_at = api.run.now()](const lease_reply& reply) {
            auto& state = api.withdrawn;
            state.lease_requested = false;
            if (reply.status == store_status::ok) {
                state.lease = reply.lease;
                state.lease_used_until =
                    sent_at + reply.ttl - min_withdrawal_time;
            }
            for (const auto& call : std::exchange(state.awaiting_lease, {}))
                call();
        });
}

void store_withdrawal(const call_ptr& call);

void handle_withdrawal_reply(const call_ptr& call, const store_item& mark,
                             const transaction_reply& reply) {
    if (reply.status == store_status::ok) {
        call->api.observe({mark.key, mark.value, reply.revision});
        call->api.run.metrics.count("jobs_withdrawn_total");
        call->api.run.journal.event(
            "job_withdrawn", {{"job", call->id},
                              {"organisation", call->access.organisation},
                              {"revision", reply.revision}});
        return answer_unknown(call, "cancel");
    }
    if (reply.status == store_status::not_found)
        call->api.withdrawn.lease_used_until = {}; // It has ended.
    call->unanswered_writes += reply.status == store_status::unknown ? 1 : 0;
    if (!call->has_time())
        return give_up_cancellation(call);
    if (reply.status != store_status::conflict)
        return retry_later(call, [call] { store_withdrawal(call); });
    for (const auto& item : reply.current)
        call->api.observe(item);
    if (find_item(reply, job_key(call->id, job_part::submission)))
        return find_and_cancel(call);
    const auto* other = find_item(reply, mark.key);
    call->foreign_withdrawal = other ? other->revision : 0;
    if (other)
        call->own_withdrawal.organisations.merge(
            parse_withdrawal(other->value).organisations);
    store_withdrawal(call);
}

/// Stores that a job which is not on record was withdrawn, and only then
/// answers that there is no such job.
void store_withdrawal(const call_ptr& call) {
    auto& api = call->api;
    const auto now = api.run.now();
    const auto decision = decide_write(api.outage(), now, call->retry_by());
    if (decision == write_decision::reject || !call->has_time())
        return give_up_cancellation(call);
    if (decision == write_decision::hold)
        return retry_later(call, [call] { store_withdrawal(call); });
    if (now >= api.withdrawn.lease_used_until)
        return request_withdrawal_lease(api, call->timeout(), [call] {
            if (call->api.run.now() < call->api.withdrawn.lease_used_until)
                return store_withdrawal(call);
            retry_later(call, [call] { store_withdrawal(call); });
        });
    call->own_withdrawal.organisations.merge(withdrawing_organisations(*call));
    const store_item mark{job_key(call->id, job_part::cancellation),
                          to_value(call->own_withdrawal)};
    store_transaction write;
    write.expected.push_back({job_key(call->id, job_part::submission), 0});
    write.expected.push_back({mark.key, call->foreign_withdrawal});
    write.puts.push_back({mark.key, mark.value, api.withdrawn.lease});
    ++call->writes;
    api.records.transact(write, call->timeout(),
                         [call, mark](const transaction_reply& reply) {
                             handle_withdrawal_reply(call, mark, reply);
                         });
}

void withdraw(const call_ptr& call) {
    if (take_withdrawal(call->api.withdrawn, call->access.organisation,
                        call->api.run.now()))
        return store_withdrawal(call);
    call->api.run.metrics.count("withdrawals_refused_total");
    finish(call, "cancel",
           make_answer(answer_kind::unavailable,
                       "too many jobs are being cancelled that were not "
                       "accepted; cancel again",
                       advised_return(call->api)));
}

void find_and_cancel(const call_ptr& call) {
    find_job(
        call, "cancel",
        [call] {
            const auto state = shown_state(*call->api.jobs, call->id);
            if (state && is_final(*state))
                return finish(call, "cancel",
                              make_answer(answer_kind::accepted, ""));
            store_cancellation(call);
        },
        [call] { withdraw(call); });
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

void cancel(job_api& api, const caller& from, const std::string& id,
            answer_callback done) {
    const auto call = begin(api, from, id, std::move(done));
    const auto access = admit(api, from);
    if (const auto* refusal = std::get_if<answer>(&access))
        return finish(call, "cancel", *refusal);
    call->access = std::get<admission>(access);
    find_and_cancel(call);
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
