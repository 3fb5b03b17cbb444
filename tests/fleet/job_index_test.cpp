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

} // namespace celerylift::test
