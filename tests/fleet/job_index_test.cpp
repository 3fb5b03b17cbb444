// What an entry knows of the jobs in the store.
#include <celerylift/fleet/job_index.hpp>
#include <celerylift/fleet/names.hpp>

#include <gtest/gtest.h>

#include <string>

namespace celerylift::test {

namespace {

fleet::store_change submission(const std::string& id, std::size_t label_bytes) {
    fleet::Submission job;
    job.set_id(id);
    job.add_steps()->set_required_label(std::string(label_bytes, 'x'));
    return {{fleet::job_key(id, fleet::job_part::submission),
             job.SerializeAsString(), 1},
            false};
}

fleet::store_change many_tasks(const std::string& id) {
    fleet::Submission job;
    job.set_id(id);
    job.set_organisation("kwela");
    job.add_steps()->set_count(8);
    job.add_steps()->set_count(2);
    job.set_occurrences(3);
    return {{fleet::job_key(id, fleet::job_part::submission),
             job.SerializeAsString(), 1},
            false};
}

} // namespace

// Large jobs were accepted without bound, and filled the memory.
TEST(job_index, knows_what_large_submissions_take) {
    const std::string first = "00000000000000a1", second = "00000000000000a2";
    fleet::job_index index;
    apply(index, submission(first, 1000));
    EXPECT_EQ(index.large_bytes, 0U) << "it is not large";
    const auto large = submission(second, 100'000);
    apply(index, large);
    apply(index, large);
    EXPECT_EQ(index.large_bytes, large.item.value.size());
    auto gone = large;
    gone.removed = true;
    apply(index, gone);
    apply(index, gone);
    EXPECT_EQ(index.large_bytes, 0U);
}

// Small jobs of many tasks were accepted without bound.
TEST(job_index, knows_what_jobs_on_record_have_by_organisation) {
    fleet::job_index index;
    const auto first = many_tasks("00000000000000a1");
    const auto size = static_cast<std::int64_t>(first.item.value.size());
    apply(index, first);
    apply(index, first);
    const fleet::accepted_totals one{1, 30, size};
    EXPECT_EQ(index.accepted.all, one);
    EXPECT_EQ(totals_of(index.accepted, "kwela"), one);
    apply(index, many_tasks("00000000000000a2"));
    apply(index, submission("00000000000000a3", 100));
    EXPECT_EQ(index.accepted.all.jobs, 3);
    EXPECT_EQ(totals_of(index.accepted, "kwela").tasks, 60);
    for (const auto* id :
         {"00000000000000a1", "00000000000000a2", "00000000000000a3"})
        apply(index,
              {{fleet::job_key(id, fleet::job_part::submission), "", 2}, true});
    EXPECT_EQ(index.accepted, fleet::accepted_work{});
}

} // namespace celerylift::test
