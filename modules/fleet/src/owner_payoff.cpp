#include "owner_internal.hpp"

#include <algorithm>

namespace celerylift::fleet {

namespace {

/// A job that takes more than this many times its objective earns no payoff.
constexpr int max_objectives_for_payoff = 3;

duration declared_run_time(const owner&, const job& job, int step) {
    return duration{job.submission.steps(step).estimate_ms()};
}

using run_time_function = duration (*)(const owner&, const job&, int step);

/// The length of the critical path through a job's steps. If `left` is set, its
/// steps that are done count as zero.
duration critical_path_time(const owner& self, const job& job,
                            run_time_function time_of, const occurrence* left) {
    std::vector<duration> ends;
    for (int step = 0; step < job.submission.steps_size(); ++step) {
        duration begin{0};
        for (const int earlier : job.submission.steps(step).after())
            begin = std::max(begin, ends[static_cast<std::size_t>(earlier)]);
        const bool done =
            left && is_done(left->steps[static_cast<std::size_t>(step)]);
        ends.push_back(begin + (done ? duration{0} : time_of(self, job, step)));
    }
    return ends.empty() ? duration{0} : *std::ranges::max_element(ends);
}

/// The latest start, in Unix milliseconds, with which a job ends within this
/// many objectives, counted from its submission.
std::int64_t latest_start(const owner& self, const job& job,
                          const occurrence& occurrence,
                          const queue_config& queue, run_time_function time_of,
                          int objectives) {
    const auto objective =
        std::chrono::duration_cast<duration>(
            critical_path_time(self, job, time_of, nullptr) * queue.stretch) +
        queue.allowance;
    const auto left = critical_path_time(self, job, time_of, &occurrence);
    return job.submission.submitted_unix_ms() +
           (objective * objectives - left).count();
}

/// Whether work keeps its payoff however late it starts. Each occurrence of a
/// recurring job counts from its due time. Lasting work has its payoff for as
/// long as it runs.
bool is_never_late(const job& job) {
    return job.submission.occurrences() > 0 ||
           std::ranges::any_of(job.submission.steps(), &Step::lasting);
}

/// What a run takes besides its work until callers see its end: the start, the
/// report of the end and its record.
constexpr duration run_overhead{100};

} // namespace

double slowness_limit_of(const owner& self, const job& job,
                         const occurrence& occurrence) {
    const auto* queue = queue_of(self, job);
    if (!queue || is_never_late(job))
        return no_slowness_limit;
    const auto work = critical_path_time(self, job, expected_run_time, nullptr);
    const auto left =
        critical_path_time(self, job, expected_run_time, &occurrence);
    const duration age{self.run.unix_ms() - job.submission.submitted_unix_ms()};
    const auto time_left =
        std::chrono::duration_cast<duration>(work * queue->stretch) +
        queue->allowance - age - run_overhead;
    if (left <= duration{0} || time_left < left)
        return no_slowness_limit;
    return static_cast<double>(time_left.count()) /
           static_cast<double>(left.count());
}

prospect prospect_of(const owner& self, const job& job,
                     const occurrence& occurrence) {
    const auto* queue = queue_of(self, job);
    if (!queue || is_never_late(job))
        return {};
    const auto in_time =
        latest_start(self, job, occurrence, *queue, declared_run_time, 1);
    const auto now = self.run.unix_ms();
    if (!self.policy.order_by_payoff || now <= in_time)
        return {payoff::in_full, in_time};
    const auto in_part =
        latest_start(self, job, occurrence, *queue, max_expected_run_time,
                     max_objectives_for_payoff);
    return {now <= in_part ? payoff::in_part : payoff::none, in_time};
}

} // namespace celerylift::fleet
