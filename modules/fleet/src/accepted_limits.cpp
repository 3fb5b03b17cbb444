#include <celerylift/fleet/accepted_limits.hpp>

#include <algorithm>

namespace celerylift::fleet {

namespace {

constexpr std::int64_t bytes_per_mb = 1024L * 1024;

/// A task takes 0.41 KB at the owner while it waits, and 0.85 KB with its
/// record once it has started. Tasks may take a quarter of the memory.
constexpr std::int64_t memory_per_task = 4L * 1024;
/// A job takes 1.8 KB beside its tasks. Jobs may take a quarter of the memory,
/// so that there may be half as many of them as tasks.
constexpr std::int64_t memory_per_job = 2 * memory_per_task;
/// The owner holds a submission twice, and may be reading it once more. Twice
/// what large submissions may take, so that they leave room for others.
constexpr std::int64_t memory_per_byte = 12;

/// An organisation may submit the largest job that is valid, also where the
/// memory is small: 8,000 tasks fit into seven eighths of half of this.
constexpr accepted_totals min_limits{8'000, 32'000, 2 * bytes_per_mb};

constexpr std::int64_t organisation_share = 2; // One half.
constexpr std::int64_t small_job_share = 8;    // One eighth.

std::optional<exceeded_limit> find_exceeded(const accepted_totals& limit,
                                            const accepted_totals& held,
                                            const accepted_totals& job) {
    if (held.jobs + job.jobs > limit.jobs)
        return exceeded_limit{accepted_bound::jobs, false, held.jobs,
                              limit.jobs};
    const auto max_tasks = job.tasks > many_tasks
                               ? limit.tasks - limit.tasks / small_job_share
                               : limit.tasks;
    if (held.tasks + job.tasks > max_tasks)
        return exceeded_limit{accepted_bound::tasks, false, held.tasks,
                              max_tasks};
    if (held.bytes + job.bytes > limit.bytes)
        return exceeded_limit{accepted_bound::bytes, false, held.bytes,
                              limit.bytes};
    return std::nullopt;
}

} // namespace

accepted_totals& accepted_totals::operator+=(const accepted_totals& other) {
    jobs += other.jobs;
    tasks += other.tasks;
    bytes += other.bytes;
    return *this;
}

accepted_totals& accepted_totals::operator-=(const accepted_totals& other) {
    jobs -= other.jobs;
    tasks -= other.tasks;
    bytes -= other.bytes;
    return *this;
}

std::int64_t task_count(const Submission& job) {
    std::int64_t tasks = 0;
    for (const auto& step : job.steps())
        tasks += step.count();
    return tasks * std::max<std::int64_t>(1, job.occurrences());
}

accepted_totals totals_of(const Submission& job, std::size_t bytes) {
    return {1, task_count(job), static_cast<std::int64_t>(bytes)};
}

void add(accepted_work& work, const std::string& organisation,
         const accepted_totals& job) {
    work.all += job;
    work.by_organisation[organisation] += job;
}

void remove(accepted_work& work, const std::string& organisation,
            const accepted_totals& job) {
    work.all -= job;
    const auto found = work.by_organisation.find(organisation);
    if (found == work.by_organisation.end())
        return;
    found->second -= job;
    if (found->second == accepted_totals{})
        work.by_organisation.erase(found);
}

accepted_totals totals_of(const accepted_work& work,
                          const std::string& organisation) {
    const auto found = work.by_organisation.find(organisation);
    return found == work.by_organisation.end() ? accepted_totals{}
                                               : found->second;
}

accepted_limits derive_accepted_limits(std::int64_t memory_mb) {
    const auto memory = memory_mb * bytes_per_mb;
    return {{std::max(min_limits.jobs, memory / memory_per_job),
             std::max(min_limits.tasks, memory / memory_per_task),
             std::max(min_limits.bytes, memory / memory_per_byte)}};
}

const char* to_string(accepted_bound bound) {
    switch (bound) {
    case accepted_bound::jobs:
        return "jobs";
    case accepted_bound::tasks:
        return "tasks";
    case accepted_bound::bytes:
        break;
    }
    return "bytes";
}

std::optional<exceeded_limit> find_exceeded(const accepted_limits& limits,
                                            const accepted_totals& all,
                                            const accepted_totals& organisation,
                                            const accepted_totals& job) {
    const accepted_totals share{limits.cell.jobs / organisation_share,
                                limits.cell.tasks / organisation_share,
                                limits.cell.bytes / organisation_share};
    if (auto found = find_exceeded(share, organisation, job)) {
        found->of_organisation = true;
        return found;
    }
    return find_exceeded(limits.cell, all, job);
}

} // namespace celerylift::fleet
