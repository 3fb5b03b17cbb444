#include <celerylift/fleet/job_api.hpp>

#include <celerylift/fleet/jobs.hpp>
#include <celerylift/fleet/names.hpp>

#include <algorithm>
#include <fmt/format.h>
#include <optional>
#include <variant>

namespace celerylift::fleet {

namespace {

constexpr duration store_timeout{700};
constexpr duration store_retry{100};

/// Kept of a caller's time for the way of the answer.
constexpr duration answer_reserve{150};

/// Callers that are turned away while the store is out of reach come back
/// after this time.
constexpr duration retry_after_outage{1000};

constexpr std::size_t longest_payload = 4000;
constexpr int most_steps = 64;
constexpr int most_tasks_in_step = 8'000;
/// Of all its steps and times: its record is one value of the store, which
/// takes a megabyte, and a task needs about a hundred bytes of it.
constexpr std::int64_t most_tasks_in_job = 8'000;

struct admitted {
    queue_config queue;
    std::string organisation;
};

answer make(answer_kind kind, std::string message, duration retry_after = {}) {
    answer a;
    a.kind = kind;
    a.message = std::move(message);
    a.retry_after = retry_after;
    return a;
}

std::variant<admitted, answer> admit(const front& f, const caller& from) {
    if (!f.config)
        return make(answer_kind::unavailable,
                    "this entry has read no configuration yet; ask another",
                    retry_after_outage);
    const auto* queue = find_queue(*f.config, from.host, from.path);
    if (!queue)
        return make(answer_kind::unknown_queue,
                    "no queue has this host and path; check both");
    const auto* organisation = find_organisation_by_key(*f.config, from.key);
    if (!organisation && !queue->is_public)
        return make(answer_kind::unauthorised,
                    "no organisation has this key; ask its operators");
    return admitted{*queue, organisation ? organisation->name : ""};
}

/// A call that is tried at the store until its caller's deadline.
struct pending_call {
    front& f;
    caller from;
    std::string id;
    answered done;
    bool maybe_done = false; // A write may have taken, or may yet take, effect.
    time_point begun{};

    bool has_time() const {
        return f.run.now() + answer_reserve + store_retry < from.deadline;
    }
    duration timeout() const {
        const auto left = from.deadline - answer_reserve - f.run.now();
        return std::max(duration{50}, std::min(store_timeout, left));
    }
};

using call_ptr = std::shared_ptr<pending_call>;

call_ptr begin(front& f, const caller& from, const std::string& id,
               answered done) {
    return std::make_shared<pending_call>(
        pending_call{f, from, id, std::move(done), false, f.run.now()});
}

void finish(const call_ptr& call, const char* verb, const answer& a) {
    const auto took = (call->f.run.now() - call->begun).count();
    call->f.run.journal.event(
        "call_answered",
        {{"verb", verb},
         {"job", call->id},
         {"answer", static_cast<int>(a.kind)},
         {"message", a.message},
         {"took_ms", took},
         {"config", call->f.config ? call->f.config->version : 0}});
    call->f.run.metrics.observe(fmt::format("{}_ms", verb),
                                static_cast<double>(took));
    call->f.run.metrics.count(
        fmt::format("calls_total{{verb=\"{}\",answer=\"{}\"}}", verb,
                    static_cast<int>(a.kind)));
    call->done(a);
}

void later(const call_ptr& call, std::function<void()> step) {
    call->f.run.timers.once(call->f.run.now() + store_retry,
                            [step = std::move(step)](time_point) { step(); });
}

/// What a job asks for, in one line.
std::string describe(const Submission& job) {
    std::string text;
    for (const auto& step : job.steps())
        text += fmt::format(
            "{}{}x{}m/{}MB/{}acc{}{}{}{}", text.empty() ? "" : " then ",
            step.count(), step.each().millicores(), step.each().memory_mb(),
            step.each().accelerators(), step.gang() ? " gang" : "",
            step.same_rack() ? " rack" : "",
            step.checkpointable() ? " saves" : "",
            step.affinity_rack().empty() ? ""
                                         : " near " + step.affinity_rack());
    return text;
}

void store_submission(const call_ptr& call, const Submission& job);

void take_submission(const call_ptr& call, const Submission& job,
                     const transaction_reply& reply) {
    if (reply.status == store_status::ok) {
        call->f.observe({job_key(call->id, job_part::submission),
                         job.SerializeAsString(), reply.revision});
        call->f.run.journal.event("job_stored",
                                  {{"job", call->id},
                                   {"queue", job.queue()},
                                   {"organisation", job.organisation()},
                                   {"steps", describe(job)},
                                   {"estimate_ms", job.steps(0).estimate_ms()},
                                   {"revision", reply.revision}});
        return finish(call, "hand_in", make(answer_kind::accepted, ""));
    }
    if (reply.status == store_status::conflict) {
        // The job is there, from this call or an earlier one.
        for (const auto& item : reply.current)
            call->f.observe(item);
        return finish(call, "hand_in", make(answer_kind::accepted, ""));
    }
    call->maybe_done =
        call->maybe_done || reply.status == store_status::unknown;
    if (call->has_time())
        return later(call, [call, job] { store_submission(call, job); });
    if (call->maybe_done)
        return finish(call, "hand_in",
                      make(answer_kind::outcome_unknown,
                           "the store did not answer; hand the same job in "
                           "again"));
    finish(call, "hand_in",
           make(answer_kind::not_run,
                "the store refuses writes; hand the job in later",
                retry_after_outage));
}

void store_submission(const call_ptr& call, const Submission& job) {
    const auto key = job_key(call->id, job_part::submission);
    store_transaction write;
    write.expected.push_back({key, 0});
    write.puts.push_back({key, job.SerializeAsString(), 0});
    call->f.records.transact(write, call->timeout(),
                             [call, job](const transaction_reply& reply) {
                                 take_submission(call, job, reply);
                             });
}

/// Calls `known` once it is certain that the job was accepted.
void find_job(const call_ptr& call, const char* verb,
              std::function<void()> known) {
    if (shown_state(*call->f.jobs, call->id))
        return known();
    call->f.records.read(
        job_key(call->id, job_part::submission), call->timeout(),
        [call, verb, known = std::move(known)](const read_reply& reply) {
            if (reply.status == store_status::not_found)
                return finish(
                    call, verb,
                    make(answer_kind::unknown_job, "no such job was accepted"));
            if (reply.status == store_status::ok) {
                call->f.observe(reply.item);
                return known();
            }
            if (call->has_time())
                return later(
                    call, [call, verb, known] { find_job(call, verb, known); });
            finish(call, verb,
                   make(answer_kind::unavailable,
                        "the store did not answer; ask again",
                        retry_after_outage));
        });
}

void store_cancellation(const call_ptr& call) {
    store_transaction write;
    write.puts.push_back(
        {job_key(call->id, job_part::cancellation), "cancelled", 0});
    call->f.records.transact(
        write, call->timeout(), [call](const transaction_reply& reply) {
            if (reply.status == store_status::ok) {
                call->f.observe({job_key(call->id, job_part::cancellation),
                                 "cancelled", reply.revision});
                return finish(call, "cancel", make(answer_kind::accepted, ""));
            }
            if (call->has_time())
                return later(call, [call] { store_cancellation(call); });
            finish(call, "cancel",
                   make(answer_kind::outcome_unknown,
                        "the store did not answer; cancel again"));
        });
}

std::string find_fault(const Step& step, int number) {
    if (step.count() < 1 || step.count() > most_tasks_in_step)
        return fmt::format("step {}: count is {}; allowed is 1 to {}", number,
                           step.count(), most_tasks_in_step);
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

std::string find_fault(const Submission& job) {
    if (job.steps_size() == 0 || job.steps_size() > most_steps)
        return fmt::format("the job has {} steps; allowed is 1 to {}",
                           job.steps_size(), most_steps);
    if (job.payload().size() > longest_payload)
        return fmt::format("the payload has {} bytes; allowed is {}",
                           job.payload().size(), longest_payload);
    for (int i = 0; i < job.steps_size(); ++i)
        if (auto fault = find_fault(job.steps(i), i); !fault.empty())
            return fault;
    std::int64_t tasks = 0;
    for (const auto& step : job.steps())
        tasks += step.count();
    const std::int64_t times = std::max(1, job.occurrences());
    if (tasks * times > most_tasks_in_job)
        return fmt::format(
            "the job has {} tasks in {} occurrences; allowed are {} in all: "
            "split it",
            tasks, times, most_tasks_in_job);
    return "";
}

void hand_in(front& f, const caller& from, const result<Submission>& job,
             answered done) {
    const auto* decoded = std::get_if<Submission>(&job);
    const auto call =
        begin(f, from, decoded ? decoded->id() : "", std::move(done));
    const auto access = admit(f, from);
    if (const auto* refusal = std::get_if<answer>(&access))
        return finish(call, "hand_in", *refusal);
    if (const auto* failure = error_of(job))
        return finish(call, "hand_in",
                      make(answer_kind::invalid, failure->message));
    const auto& allowed = std::get<admitted>(access);
    if (auto fault = find_fault(*decoded); !fault.empty())
        return finish(call, "hand_in", make(answer_kind::invalid, fault));
    if (allowed.queue.needs_advice)
        return finish(call, "hand_in",
                      make(answer_kind::not_run,
                           "queues that need advice are not served yet; use "
                           "another queue",
                           duration{60'000}));
    if (shown_state(*f.jobs, call->id))
        return finish(call, "hand_in", make(answer_kind::accepted, ""));
    auto complete = *decoded;
    complete.set_queue(allowed.queue.name);
    complete.set_organisation(allowed.organisation);
    complete.set_submitted_unix_ms(f.run.unix_ms());
    store_submission(call, complete);
}

void show_state(front& f, const caller& from, const std::string& id,
                answered done) {
    const auto call = begin(f, from, id, std::move(done));
    const auto access = admit(f, from);
    if (const auto* refusal = std::get_if<answer>(&access))
        return finish(call, "show", *refusal);
    find_job(call, "show", [call] {
        auto a = make(answer_kind::shown, "");
        a.state = shown_state(*call->f.jobs, call->id).value_or(JOB_PENDING);
        finish(call, "show", a);
    });
}

void cancel(front& f, const caller& from, const std::string& id,
            answered done) {
    const auto call = begin(f, from, id, std::move(done));
    const auto access = admit(f, from);
    if (const auto* refusal = std::get_if<answer>(&access))
        return finish(call, "cancel", *refusal);
    find_job(call, "cancel", [call] {
        const auto state = shown_state(*call->f.jobs, call->id);
        if (state && is_final(*state))
            return finish(call, "cancel", make(answer_kind::accepted, ""));
        store_cancellation(call);
    });
}

void count_waiting(front& f, const caller& from, answered done) {
    const auto call = begin(f, from, "", std::move(done));
    const auto access = admit(f, from);
    if (const auto* refusal = std::get_if<answer>(&access))
        return finish(call, "count", *refusal);
    auto a = make(answer_kind::counted, "");
    a.waiting = waiting_jobs(*f.jobs, std::get<admitted>(access).queue.name);
    finish(call, "count", a);
}

} // namespace celerylift::fleet
