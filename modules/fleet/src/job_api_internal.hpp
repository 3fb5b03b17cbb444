#pragma once

#include <celerylift/fleet/job_api.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>

namespace celerylift::fleet {

inline constexpr duration store_timeout{700};
inline constexpr duration store_retry_period{100};

/// The part of a caller's timeout that is reserved for returning the answer.
inline constexpr duration answer_reserve{150};

struct admission {
    queue_config queue;
    std::string organisation; // Empty for a public queue without a key.
};

answer make_answer(answer_kind kind, std::string message,
                   duration retry_after = {});

/// When a caller should return that is rejected now.
duration advised_return(job_api& api);

/// The queue and the organisation of a caller, or why the call is rejected.
std::variant<admission, answer> admit(job_api& api, const caller& from);

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
    /// The revision of the withdrawal that a write of the call expects, once
    /// the store has shown one. 0: it expects none.
    std::int64_t expected_withdrawal = 0;
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
               answer_callback done);

/// Answers a call, and reports it under the name of its verb.
void finish(const call_ptr& call, const char* verb, const answer& reply);
void answer_unknown(const call_ptr& call, const char* verb);

void retry_later(const call_ptr& call, std::function<void()> step);

/// Calls `found` once it is certain that the job was accepted and that the
/// caller may know of it, or `missing` once it is certain that it is not on
/// record.
void find_job(const call_ptr& call, const char* verb,
              std::function<void()> found, std::function<void()> missing);

/// The item that made a transaction fail, or null if there is none of the key.
const store_item* find_item(const transaction_reply& reply,
                            const std::string& key);

/// The organisations for which a call withdraws a job, or submits it. Callers
/// of a public queue share the jobs that they submit to it.
std::set<std::string> withdrawing_organisations(const pending_call& call);

} // namespace celerylift::fleet
