// Jobs whose queue is not in the configuration any more. They were accepted,
// and run under the terms of their queue.
#include "virtual_fleet.hpp"

#include <celerylift/fleet/names.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <string>

namespace celerylift::test {

namespace {

using fleet::answer_kind;
using fleet::job_part;

constexpr fleet::resources small{8'000, 16'000, 1};
constexpr fleet::resources whole_server{64'000, 100'000, 8};
constexpr duration config_time{300}; // Until a configuration is in force.

std::string job_id(int n) {
    return fmt::format("{:016x}", n);
}

/// A job whose second step waits for the first.
fleet::Submission two_steps(int n) {
    auto job = make_job(job_id(n), "ms=1500", 1, small);
    auto* second = job.add_steps();
    *second = job.steps(0);
    second->add_after(0);
    return job;
}

fleet::queue_config& normal_queue(fleet::fleet_config& config) {
    return *std::ranges::find(config.queues, "normal",
                              &fleet::queue_config::name);
}

/// The configuration in which the queue normal has another name.
fleet::fleet_config with_renamed_queue(int version) {
    auto config = virtual_fleet::default_config(version);
    normal_queue(config).name = "normal-2";
    return config;
}

void restart_all_entries(virtual_fleet& fleet) {
    for (int n = 1; n <= 3; ++n)
        fleet.kill_entry(n);
    for (int n = 1; n <= 3; ++n)
        fleet.start_entry(n);
}

/// Makes the records of a job those of an earlier version, which does not keep
/// the terms.
void remove_terms(virtual_fleet& fleet, const std::string& id) {
    const auto submission_key = fleet::job_key(id, job_part::submission);
    fleet::Submission submission;
    submission.ParseFromString(fleet.store.get(submission_key)->value);
    submission.clear_terms();
    fleet.store.put(submission_key, submission.SerializeAsString());
    const auto progress_key = fleet::job_key(id, job_part::progress);
    if (const auto item = fleet.store.get(progress_key)) {
        fleet::Progress progress;
        progress.ParseFromString(item->value);
        progress.clear_terms();
        fleet.store.put(progress_key, progress.SerializeAsString());
    }
}

/// Lets all servers be busy for a time.
void occupy_servers(virtual_fleet& fleet, const std::string& payload) {
    for (int n = 101; n <= 106; ++n)
        fleet.submit(make_job(job_id(n), payload, 1, whole_server), 1,
                     "cwm-key", "/urgent/");
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 6; },
                                    duration{3000}));
}

std::int64_t count_events(const virtual_fleet& fleet, const std::string& name) {
    const auto text = fmt::format("\"event\":\"{}\"", name);
    return std::ranges::count_if(fleet.sim.log, [&](const std::string& line) {
        return line.find(text) != std::string::npos;
    });
}

void expect_no_violations(const virtual_fleet& fleet) {
    for (const auto& violation : fleet.history.violations)
        ADD_FAILURE() << violation;
    if (::testing::Test::HasFailure() && std::getenv("FLEET_LOG"))
        for (const auto& line : fleet.sim.log)
            fmt::print("{}\n", line);
}

/// A job of two steps has begun, and then its queue goes.
class accepted_job : public ::testing::Test {
protected:
    accepted_job() {
        EXPECT_EQ(fleet.submit(two_steps(1)).kind, answer_kind::accepted);
        EXPECT_TRUE(fleet.sim.run_until(
            [this] { return fleet.history.starts == 1; }, duration{1000}));
    }

    void expect_completion() {
        EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                         duration{10'000}));
        EXPECT_EQ(fleet.history.starts, 2);
        expect_no_violations(fleet);
    }

    virtual_fleet fleet;
};

} // namespace

// The owner knew a queue by its name only, and passed the job over for good.
TEST_F(accepted_job,
       runs_on_when_its_queue_is_replaced_by_one_of_another_name) {
    fleet.configure(with_renamed_queue(2));
    expect_completion();
    EXPECT_GE(count_events(fleet, "jobs_of_removed_queue"), 1);
}

TEST_F(accepted_job, runs_on_when_its_queue_is_removed) {
    fleet.configure_without_normal_queue(2);
    expect_completion();
}

TEST_F(accepted_job, runs_on_when_the_owner_changes_after_that) {
    fleet.configure_without_normal_queue(2);
    fleet.sim.run_for(config_time);
    fleet.kill_entry(fleet.owner_entry());
    const int other = fleet.has_entry(1) ? 1 : 2;
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                     duration{10'000}, other));
}

TEST_F(accepted_job, runs_on_when_all_entries_restart_after_that) {
    fleet.configure_without_normal_queue(2);
    fleet.sim.run_for(config_time);
    restart_all_entries(fleet);
    expect_completion();
}

TEST_F(accepted_job, runs_on_when_its_queue_is_removed_while_no_entry_is_up) {
    for (int n = 1; n <= 3; ++n)
        fleet.kill_entry(n);
    fleet.configure_without_normal_queue(2);
    for (int n = 1; n <= 3; ++n)
        fleet.start_entry(n);
    expect_completion();
}

TEST_F(accepted_job, runs_on_when_its_organisation_is_removed_as_well) {
    auto config = with_renamed_queue(2);
    std::erase_if(config.organisations,
                  [](const auto& o) { return o.name == "kwela"; });
    fleet.configure(config);
    fleet.sim.run_for(config_time);
    restart_all_entries(fleet);
    expect_completion();
}

// An entry of an earlier version has accepted the job.
TEST_F(accepted_job,
       without_terms_on_record_gets_them_while_its_queue_is_there) {
    remove_terms(fleet, job_id(1));
    restart_all_entries(fleet);
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.owner_entry() != 0; },
                                    duration{5000}));
    fleet.sim.run_for(config_time);
    restart_all_entries(fleet);
    fleet.configure_without_normal_queue(2);
    expect_completion();
}

TEST_F(accepted_job, without_terms_on_record_waits_for_its_queue) {
    for (int n = 1; n <= 3; ++n)
        fleet.kill_entry(n);
    remove_terms(fleet, job_id(1));
    fleet.configure_without_normal_queue(2);
    for (int n = 1; n <= 3; ++n)
        fleet.start_entry(n);
    fleet.sim.run_for(duration{5000});
    EXPECT_EQ(fleet.history.starts, 1);
    EXPECT_EQ(fleet.state_at_any_entry(job_id(1)), fleet::JOB_RUNNING);
    EXPECT_GE(count_events(fleet, "jobs_of_removed_queue"), 1);
    fleet.configure(3);
    expect_completion();
}

// ---- Callers of a queue that was replaced or removed ----

TEST_F(accepted_job, is_shown_and_cancelled_through_the_queue_at_its_path) {
    fleet.configure(with_renamed_queue(2));
    fleet.sim.run_for(config_time);
    EXPECT_EQ(fleet.show(job_id(1)).state, fleet::JOB_RUNNING);
    EXPECT_EQ(fleet.cancel(job_id(1), 2).kind, answer_kind::accepted);
    fleet.sim.run_for(duration{3000});
    EXPECT_EQ(fleet.show(job_id(1), 3).state, fleet::JOB_CANCELLED);
    EXPECT_EQ(fleet.history.starts, 1);
    expect_no_violations(fleet);
}

// No queue has the path, so callers are told that and nothing about the job.
TEST_F(accepted_job, is_unknown_to_callers_while_no_queue_has_its_path) {
    fleet.configure_without_normal_queue(2);
    fleet.sim.run_for(config_time);
    EXPECT_EQ(fleet.show(job_id(1)).kind, answer_kind::unknown_queue);
    EXPECT_EQ(fleet.cancel(job_id(1)).kind, answer_kind::unknown_queue);
    EXPECT_EQ(fleet.count("/normal/").kind, answer_kind::unknown_queue);
    fleet.configure(with_renamed_queue(3));
    expect_completion();
    EXPECT_EQ(fleet.show(job_id(1)).state, fleet::JOB_COMPLETED);
}

TEST(waiting_jobs, of_a_replaced_queue_count_for_the_queue_at_their_path) {
    virtual_fleet fleet;
    occupy_servers(fleet, "ms=4000");
    for (int n = 1; n <= 3; ++n)
        fleet.submit(make_job(job_id(n), "ms=500", 1, whole_server));
    fleet.configure(with_renamed_queue(2));
    fleet.sim.run_for(config_time);
    fleet.submit(make_job(job_id(4), "ms=500", 1, whole_server));
    for (int entry = 1; entry <= 3; ++entry) {
        fleet.sim.run_for(duration{200});
        EXPECT_EQ(fleet.count("/normal/", entry).waiting, 4);
        EXPECT_EQ(fleet.count("/urgent/", entry).waiting, 0);
    }
    for (int n = 1; n <= 4; ++n)
        EXPECT_TRUE(fleet.wait_for_state(job_id(n), fleet::JOB_COMPLETED));
}

// ---- The terms that such jobs keep ----

TEST(job_of_a_removed_queue, fails_after_the_attempts_of_its_queue) {
    virtual_fleet fleet;
    fleet.submit(make_job(job_id(1), "fail", 1, small));
    fleet.configure_without_normal_queue(2);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_FAILED));
    EXPECT_EQ(fleet.history.starts, 2);
}

// The task waits in the pause after a failure when its queue is removed.
TEST(job_of_a_removed_queue, is_tried_again_after_its_pause) {
    virtual_fleet fleet;
    fleet.submit(make_job(job_id(1), "fail", 1, small));
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.history.failures == 1; },
                                    duration{3000}));
    fleet.configure_without_normal_queue(2);
    fleet.sim.run_for(config_time);
    restart_all_entries(fleet);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_FAILED));
    EXPECT_EQ(fleet.history.starts, 2);
    expect_no_violations(fleet);
}

// The terms on record are the last ones in force, not those of the submission.
TEST(job_of_a_removed_queue, has_the_attempts_that_were_last_in_force) {
    virtual_fleet fleet;
    occupy_servers(fleet, "ms=3000");
    fleet.submit(make_job(job_id(1), "fail", 1, whole_server));
    auto config = virtual_fleet::default_config(2);
    normal_queue(config).max_attempts = 3;
    fleet.configure(config);
    fleet.sim.run_for(config_time);
    fleet.configure_without_normal_queue(3);
    fleet.sim.run_for(config_time);
    restart_all_entries(fleet);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_FAILED));
    EXPECT_EQ(fleet.history.failures, 3);
}

TEST(job_of_a_removed_queue, has_the_terms_of_a_queue_that_is_back) {
    virtual_fleet fleet;
    occupy_servers(fleet, "ms=3000");
    fleet.submit(make_job(job_id(1), "fail", 1, whole_server));
    fleet.configure_without_normal_queue(2);
    fleet.sim.run_for(config_time);
    auto config = virtual_fleet::default_config(3);
    normal_queue(config).max_attempts = 1;
    fleet.configure(config);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_FAILED));
    EXPECT_EQ(fleet.history.failures, 1);
}

TEST(job_of_a_removed_queue, runs_on_the_service_of_a_queue_that_is_back) {
    virtual_fleet fleet;
    occupy_servers(fleet, "ms=3000");
    fleet.submit(make_job(job_id(1), "ms=500", 1, whole_server));
    fleet.configure_without_normal_queue(2);
    fleet.sim.run_for(config_time);
    auto config = virtual_fleet::default_config(3);
    normal_queue(config).service = "a service without servers";
    fleet.configure(config);
    fleet.sim.run_for(duration{6000});
    EXPECT_EQ(fleet.history.starts, 6);
    EXPECT_EQ(fleet.show(job_id(1)).state, fleet::JOB_PENDING);
    fleet.configure(4);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
}

// Nobody can tell whether its servers come back, so the job stays accepted.
TEST(job_of_a_removed_service, waits_and_is_reported) {
    virtual_fleet fleet;
    occupy_servers(fleet, "ms=3000");
    fleet.submit(make_job(job_id(1), "ms=500", 1, whole_server));
    auto config = virtual_fleet::default_config(2);
    config.services.push_back({"another service", false});
    config.queues.clear();
    fleet.configure(config);
    fleet.sim.run_for(config_time);
    EXPECT_GE(count_events(fleet, "jobs_of_removed_queue"), 1);
    EXPECT_EQ(fleet.state_at_any_entry(job_id(1)), fleet::JOB_PENDING);
    // The servers are still there.
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
}

TEST(recurring_job, of_a_removed_queue_runs_its_later_occurrences) {
    virtual_fleet fleet;
    auto job = make_job(job_id(1), "ms=300", 1, small);
    job.set_occurrences(3);
    job.set_interval_ms(2000);
    job.set_first_start_unix_ms(fleet.entry(1).api().run.unix_ms() + 500);
    fleet.submit(job);
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 1; },
                                    duration{3000}));
    fleet.configure_without_normal_queue(2);
    fleet.sim.run_for(config_time);
    restart_all_entries(fleet);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                     duration{12'000}));
    EXPECT_EQ(fleet.history.starts, 3);
    expect_no_violations(fleet);
}

TEST(lasting_job, of_a_removed_queue_is_started_again) {
    virtual_fleet fleet;
    auto job = make_job(job_id(1), "ms=1000", 1, small);
    job.mutable_steps(0)->set_lasting(true);
    fleet.submit(job);
    fleet.configure_without_normal_queue(2);
    EXPECT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts >= 4; },
                                    duration{10'000}));
}

// Urgent work keeps its priority, and so the right to preempt.
TEST(urgent_job, of_a_removed_queue_preempts_other_work) {
    virtual_fleet fleet;
    for (int n = 1; n <= 6; ++n)
        fleet.submit(make_job(job_id(n), "ms=60000", 1, whole_server), 1,
                     "cwm-key");
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 6; },
                                    duration{3000}));
    for (int n = 1; n <= 6; ++n)
        fleet.server(n).stop_time = duration{800};
    fleet.submit(make_gang(job_id(99), "ms=1000", 1, whole_server), 1,
                 "kwela-key", "/urgent/");
    auto config = virtual_fleet::default_config(2);
    std::erase_if(config.queues,
                  [](const auto& q) { return q.name == "urgent"; });
    fleet.configure(config);
    EXPECT_TRUE(
        fleet.wait_for_state(job_id(99), fleet::JOB_COMPLETED, duration{4000}));
    expect_no_violations(fleet);
}

} // namespace celerylift::test
