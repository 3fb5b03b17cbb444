#include <celerylift/fleet/job_index.hpp>

#include <celerylift/fleet/jobs.hpp>
#include <celerylift/fleet/names.hpp>

namespace celerylift::fleet {

namespace {

void remove_part(directory& d, const job_key_parts& key) {
    auto it = d.jobs.find(key.id);
    if (it == d.jobs.end())
        return;
    auto& j = it->second;
    if (key.part == job_part::submission)
        j.submission.reset();
    if (key.part == job_part::cancellation)
        j.cancelled = false;
    if (key.part == job_part::progress)
        j.progress.reset();
    if (!j.submission && !j.cancelled && !j.progress)
        d.jobs.erase(it);
}

bool set_part(stored_job& j, job_part part, const store_item& item) {
    if (part == job_part::cancellation) {
        j.cancelled = true;
        return true;
    }
    if (part == job_part::submission) {
        Submission s;
        if (!s.ParseFromString(item.value))
            return false;
        j.submission = std::move(s);
        j.submission_revision = item.revision;
        return true;
    }
    Progress p;
    if (!p.ParseFromString(item.value))
        return false;
    j.progress = std::move(p);
    j.progress_revision = item.revision;
    return true;
}

} // namespace

std::optional<std::string> apply(directory& d, const store_change& change) {
    const auto key = parse_job_key(change.item.key);
    if (!key)
        return std::nullopt;
    if (change.removed)
        remove_part(d, *key);
    else if (!set_part(d.jobs[key->id], key->part, change.item))
        return std::nullopt;
    return key->id;
}

std::optional<JobState> shown_state(const directory& d, const std::string& id) {
    const auto it = d.jobs.find(id);
    if (it == d.jobs.end() || !it->second.submission)
        return std::nullopt;
    const auto& j = it->second;
    if (j.progress && is_final(j.progress->state()))
        return j.progress->state();
    if (j.cancelled)
        return JOB_CANCELLED;
    return j.progress ? j.progress->state() : JOB_PENDING;
}

int waiting_jobs(const directory& d, const std::string& queue) {
    int count = 0;
    for (const auto& [id, j] : d.jobs) {
        if (!j.submission || j.submission->queue() != queue || j.cancelled)
            continue;
        const bool begun = j.progress && (j.progress->begun() ||
                                          is_final(j.progress->state()));
        count += begun ? 0 : 1;
    }
    return count;
}

} // namespace celerylift::fleet
