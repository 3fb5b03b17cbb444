// Jobs on a whole fleet in virtual time: the answers to callers, the runs on
// backend servers, and the invariants that hold for both.
#include "virtual_fleet.hpp"

#include <celerylift/fleet/names.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>

namespace celerylift::test {

namespace {

using fleet::answer_kind;

constexpr fleet::resources small{8'000, 16'000, 1};
constexpr fleet::resources whole_server{64'000, 100'000, 8};
/// How long a stopping entry serves its callers.
constexpr duration time_to_end{5200};

std::string job_id(int n) {
    return fmt::format("{:016x}", n);
}

/// Fails for each invariant violation. FLEET_LOG=1 prints the log.
void expect_no_violations(const virtual_fleet& fleet) {
    for (const auto& violation : fleet.history.violations)
        ADD_FAILURE() << violation;
    if (::testing::Test::HasFailure() && std::getenv("FLEET_LOG"))
        for (const auto& line : fleet.sim.log)
            fmt::print("{}\n", line);
}

/// Ends all processes and servers, and starts the entries again after a while.
void lose_power(virtual_fleet& fleet) {
    for (int n = 1; n <= 6; ++n) {
        fleet.kill_agent(n);
        fleet.server(n).crash();
    }
    for (int n = 1; n <= 3; ++n)
        fleet.kill_entry(n);
    fleet.sim.run_for(duration{3000});
    for (int n = 1; n <= 3; ++n)
        fleet.start_entry(n);
    fleet.sim.run_for(duration{700});
}

void return_server(virtual_fleet& fleet, int number) {
    fleet.server(number).restart();
    fleet.start_agent(number);
}

} // namespace

// ---- Without faults ----

TEST(fleet_without_faults, runs_a_job_once_and_shows_it_at_every_entry) {
    virtual_fleet fleet;
    EXPECT_EQ(fleet.submit(make_job(job_id(1), "ms=400", 3, small)).kind,
              answer_kind::accepted);
    for (int entry = 1; entry <= 3; ++entry)
        EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                         duration{2000}, entry));
    EXPECT_EQ(fleet.history.starts, 3);
    expect_no_violations(fleet);
}

TEST(fleet_without_faults, starts_all_tasks_of_a_gang_on_one_rack) {
    virtual_fleet fleet;
    fleet.submit(make_gang(job_id(1), "ms=600", 3, whole_server));
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 3; },
                                    duration{1000}));
    int on_first_rack = 0;
    for (int n = 1; n <= 3; ++n)
        on_first_rack += static_cast<int>(fleet.server(n).running_count());
    EXPECT_TRUE(on_first_rack == 3 || on_first_rack == 0);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
    expect_no_violations(fleet);
}

// The orders for a server repeated the payload for each task. For many tasks
// they got longer than a link delivers, and the server got no orders any more.
TEST(fleet_without_faults,
     runs_a_job_of_thousands_of_tasks_with_long_payloads) {
    virtual_fleet fleet;
    const auto payload = "ms=300" + std::string(3994, ' ');
    fleet.submit(make_job(job_id(1), payload, 3000, {20, 10, 0}));
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                     duration{15'000}));
    EXPECT_EQ(fleet.history.starts, 3000);
    EXPECT_LT(fleet.longest_message, 512UL * 1024);
    expect_no_violations(fleet);
}

TEST(fleet_without_faults, starts_a_step_only_after_its_predecessor) {
    virtual_fleet fleet;
    auto job = make_job(job_id(1), "ms=300", 2, small);
    *job.add_steps() = job.steps(0);
    job.mutable_steps(1)->add_after(0);
    fleet.submit(job);
    fleet.sim.run_for(duration{200});
    EXPECT_EQ(fleet.history.starts, 2);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
    EXPECT_EQ(fleet.history.starts, 4);
}

TEST(fleet_without_faults, answers_invalid_calls_with_the_matching_error) {
    virtual_fleet fleet;
    const auto job = make_job(job_id(1), "ms=10", 1, small);
    EXPECT_EQ(fleet.submit(job, 1, "no-such-key").kind,
              answer_kind::unauthorised);
    EXPECT_EQ(fleet.submit(job, 1, "kwela-key", "/elsewhere/").kind,
              answer_kind::unknown_queue);
    EXPECT_EQ(fleet.show(job_id(9)).kind, answer_kind::unknown_job);
    EXPECT_EQ(fleet.cancel(job_id(9)).kind, answer_kind::unknown_job);
    auto invalid_job = job;
    invalid_job.mutable_steps(0)->add_after(0);
    EXPECT_EQ(fleet.submit(invalid_job).kind, answer_kind::invalid);
    fleet.sim.run_for(duration{500});
    EXPECT_EQ(fleet.history.starts, 0);
}

// A caller with the valid key of another organisation could read and cancel a
// job by its id.
TEST(fleet_without_faults, shows_and_cancels_a_job_for_its_organisation_only) {
    virtual_fleet fleet;
    fleet.submit(make_job(job_id(1), "ms=2000", 1, small));
    for (int entry = 1; entry <= 3; ++entry) {
        EXPECT_EQ(fleet.show(job_id(1), entry, "cwm-key").kind,
                  answer_kind::unknown_job);
        EXPECT_EQ(fleet.cancel(job_id(1), entry, "cwm-key").kind,
                  answer_kind::unknown_job);
        EXPECT_EQ(fleet.show(job_id(1), entry).kind, answer_kind::shown);
    }
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
}

TEST(fleet_without_faults, accepts_a_repeated_submission_without_a_second_run) {
    virtual_fleet fleet;
    const auto job = make_job(job_id(1), "ms=100", 1, small);
    fleet.submit(job, 1);
    EXPECT_EQ(fleet.submit(job, 2).kind, answer_kind::accepted);
    fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED);
    EXPECT_EQ(fleet.submit(job, 3).kind, answer_kind::accepted);
    fleet.sim.run_for(duration{500});
    EXPECT_EQ(fleet.history.starts, 1);
}

TEST(fleet_without_faults, stops_a_cancelled_job_and_shows_its_state) {
    virtual_fleet fleet;
    fleet.submit(make_job(job_id(1), "ms=5000", 2, small));
    fleet.sim.run_until([&] { return fleet.history.starts == 2; },
                        duration{1000});
    EXPECT_EQ(fleet.cancel(job_id(1), 2).kind, answer_kind::accepted);
    EXPECT_TRUE(
        fleet.wait_for_state(job_id(1), fleet::JOB_CANCELLED, duration{500}));
    EXPECT_TRUE(fleet.sim.run_until(
        [&] { return fleet.history.running.empty(); }, duration{500}));
}

TEST(fleet_without_faults, fails_a_job_after_its_last_attempt) {
    virtual_fleet fleet;
    fleet.submit(make_job(job_id(1), "fail", 1, small));
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_FAILED));
    EXPECT_EQ(fleet.history.starts, 2);
}

TEST(fleet_without_faults, applies_configurations_and_ignores_older_ones) {
    virtual_fleet fleet;
    fleet.configure(7);
    fleet.sim.run_for(duration{100});
    fleet.configure(3);
    fleet.sim.run_for(duration{2000});
    for (int n = 1; n <= 3; ++n)
        EXPECT_EQ(fleet.entry(n).api().config->version, 7);
}

// The watch of each entry returned at each write of any entry. With ten entries
// most calls to the store were watches.
TEST(fleet_without_faults, reads_many_changes_per_watch_call) {
    virtual_fleet fleet;
    const int before = fleet.store.watch_calls;
    for (int n = 1; n <= 100; ++n) {
        fleet.submit_async(make_job(job_id(n), "ms=20", 1, small), 1,
                           "kwela-key", "/normal/");
        fleet.sim.run_for(duration{20});
    }
    // Three entries watch for two seconds.
    EXPECT_LE(fleet.store.watch_calls - before, 80);
    EXPECT_TRUE(fleet.wait_for_state(job_id(100), fleet::JOB_COMPLETED,
                                     duration{1000}));
    EXPECT_TRUE(fleet.wait_for_state(job_id(100), fleet::JOB_COMPLETED,
                                     duration{1000}, 3));
}

TEST(fleet_without_faults, reclaims_guaranteed_accelerators_at_once) {
    virtual_fleet fleet;
    // Batch jobs of another organisation fill all servers.
    for (int n = 1; n <= 6; ++n)
        fleet.submit(make_job(job_id(n), "ms=60000", 1, whole_server), 1,
                     "cwm-key");
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 6; },
                                    duration{3000}));
    fleet.submit(make_gang(job_id(99), "ms=500", 2, whole_server), 2,
                 "kwela-key", "/urgent/");
    EXPECT_TRUE(
        fleet.wait_for_state(job_id(99), fleet::JOB_COMPLETED, duration{2000}));
    expect_no_violations(fleet);
}

// A task that had just been restarted always had the lowest preemption cost.
// One was preempted twice within six seconds, and its job lost its payoff.
TEST(fleet_without_faults, does_not_preempt_the_same_task_twice) {
    virtual_fleet fleet;
    for (int n = 1; n <= 6; ++n)
        fleet.submit(make_job(job_id(n), "ms=9000", 1, whole_server), 1,
                     "cwm-key");
    fleet.sim.run_until([&] { return fleet.history.starts == 6; },
                        duration{2000});
    for (int n = 7; n <= 8; ++n) {
        fleet.sim.run_for(duration{1000});
        fleet.submit(make_gang(job_id(n), "ms=300", 1, whole_server), 1,
                     "kwela-key", "/urgent/");
        EXPECT_TRUE(fleet.wait_for_state(job_id(n), fleet::JOB_COMPLETED,
                                         duration{2000}));
    }
    fleet.sim.run_for(duration{500});
    int max_starts = 0;
    for (int n = 1; n <= 6; ++n)
        max_starts = std::max(
            max_starts, fleet.history.starts_by_task[job_id(n) + ".0.0.0"]);
    EXPECT_EQ(max_starts, 2);
    expect_no_violations(fleet);
}

// Urgent jobs of eight accelerators waited 3.5 s behind batch jobs although
// their target is four seconds.
TEST(fleet_without_faults,
     preempts_batch_work_for_urgent_work_beyond_a_guarantee) {
    virtual_fleet fleet;
    for (int n = 1; n <= 6; ++n)
        fleet.submit(make_job(job_id(n), "ms=20000", 1, {11'000, 20'000, 1}), 1,
                     "cwm-key");
    for (int n = 7; n <= 12; ++n)
        fleet.submit(make_job(job_id(n), "ms=20000", 1, {52'000, 75'000, 4}), 1,
                     "cwm-key");
    fleet.sim.run_until([&] { return fleet.history.starts == 12; },
                        duration{1000});
    // Five whole servers are more than kwela is guaranteed.
    fleet.submit(make_job(job_id(99), "ms=500", 5, {15'000, 30'000, 8}), 1,
                 "kwela-key", "/urgent/");
    EXPECT_TRUE(
        fleet.wait_for_state(job_id(99), fleet::JOB_COMPLETED, duration{2500}));
}

// Urgent jobs found servers that batch jobs had just filled. Preempting these
// took up to 0.9 s, which is more than the target of urgent jobs allows.
TEST(fleet_without_faults,
     reserves_a_rack_for_urgent_work_while_batch_work_can_wait) {
    virtual_fleet fleet;
    for (int n = 1; n <= 8; ++n) {
        auto batch_job = make_job(job_id(n), "ms=9000", 1, {52'000, 75'000, 4});
        batch_job.mutable_steps(0)->set_estimate_ms(9000);
        fleet.submit(batch_job, 1, "cwm-key");
    }
    fleet.sim.run_for(duration{500});
    const int before = fleet.history.starts;
    EXPECT_LT(before, 8);
    fleet.submit(make_gang(job_id(99), "ms=300", 3, {15'000, 30'000, 4}), 1,
                 "kwela-key", "/urgent/");
    EXPECT_TRUE(
        fleet.wait_for_state(job_id(99), fleet::JOB_COMPLETED, duration{450}));
    EXPECT_EQ(fleet.history.starts, before + 3);
    for (int n = 1; n <= 8; ++n)
        EXPECT_TRUE(fleet.wait_for_state(job_id(n), fleet::JOB_COMPLETED));
}

TEST(fleet_without_faults, places_no_work_on_a_draining_server) {
    virtual_fleet fleet;
    fleet.server(1).draining = true;
    fleet.sim.run_for(duration{600});
    for (int n = 1; n <= 5; ++n)
        fleet.submit(make_job(job_id(n), "ms=300", 1, whole_server));
    fleet.sim.run_for(duration{250});
    EXPECT_EQ(fleet.server(1).running_count(), 0U);
    for (int n = 1; n <= 5; ++n)
        EXPECT_TRUE(fleet.wait_for_state(job_id(n), fleet::JOB_COMPLETED));
}

// ---- Process failures ----

TEST(owner, that_is_killed_is_replaced_and_its_runs_are_adopted) {
    virtual_fleet fleet;
    fleet.submit(make_job(job_id(1), "ms=6000", 4, small), 2);
    fleet.sim.run_until([&] { return fleet.history.starts == 4; },
                        duration{1000});
    const int old_owner = fleet.owner_entry();
    const auto before = fleet.sim.now;
    fleet.kill_entry(old_owner);
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.is_settled(); },
                                    duration{2500}));
    EXPECT_LE(fleet.sim.now - before, duration{2500});
    const int other = old_owner == 2 ? 3 : 2;
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                     duration{10'000}, other));
    EXPECT_EQ(fleet.history.starts, 4);
    expect_no_violations(fleet);
}

TEST(owner, that_stops_gracefully_is_replaced_within_300_ms) {
    virtual_fleet fleet;
    const int old_owner = fleet.owner_entry();
    const auto before = fleet.sim.now;
    fleet.entry(old_owner).stop(fleet.sim.now + time_to_end);
    ASSERT_TRUE(fleet.sim.run_until(
        [&] {
            return fleet.owner_entry() != 0 && fleet.owner_entry() != old_owner;
        },
        duration{300}));
    EXPECT_LE(fleet.sim.now - before, duration{300});
}

// The stop of a run was not on record. A new owner took the run for one to be
// continued and extended its lease for good.
TEST(owner, that_takes_over_stops_the_runs_of_a_cancelled_job) {
    virtual_fleet fleet;
    fleet.submit(make_job(job_id(1), "ms=60000", 1, small));
    fleet.sim.run_for(duration{1000});
    ASSERT_EQ(fleet.history.running.size(), 1U);
    const auto server = fleet.history.running.begin()->second;
    const int agent = std::stoi(server.substr(server.rfind('-') + 1));
    fleet.kill_agent(agent);
    EXPECT_EQ(fleet.cancel(job_id(1), 1).kind, answer_kind::accepted);
    fleet.sim.run_for(duration{500});
    const int old_owner = fleet.owner_entry();
    fleet.kill_entry(old_owner);
    fleet.start_agent(agent);
    fleet.sim.run_for(duration{500});
    fleet.start_entry(old_owner);
    fleet.sim.run_for(duration{4000});
    EXPECT_TRUE(fleet.history.running.empty());
    expect_no_violations(fleet);
}

// The owner ended before it knew that the failure was on record. The next owner
// got the same end from the agent and counted it again.
TEST(owner, that_takes_over_counts_the_failed_run_of_a_gang_once) {
    virtual_fleet fleet;
    fleet.submit(make_gang(job_id(1), "fail", 2, whole_server));
    const auto failures = [&] {
        const auto& owner = fleet.entry(fleet.owner_entry()).owner_state();
        return owner.jobs.at(job_id(1))
            .occurrences[0]
            .steps[0]
            .tasks[0]
            .failures;
    };
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 2; },
                                    duration{2000}));
    fleet.store.fault = store_fault::lost_replies;
    const int old_owner = fleet.owner_entry();
    ASSERT_TRUE(
        fleet.sim.run_until([&] { return failures() == 1; }, duration{2000}));
    fleet.sim.run_for(duration{20});
    fleet.kill_entry(old_owner);
    fleet.store.fault = store_fault::none;
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.is_settled(); },
                                    duration{5000}));
    fleet.sim.run_for(duration{300});
    EXPECT_EQ(failures(), 1);
}

// Without its queue a job had no limit of attempts, and nothing looked again
// once the queue was back.
TEST(owner, that_gets_a_queue_back_starts_no_task_without_attempts_left) {
    virtual_fleet fleet;
    fleet.submit(make_job(job_id(1), "fail", 1, small));
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 2; },
                                    duration{10'000}));
    fleet.configure_without_normal_queue(2);
    fleet.sim.run_for(duration{2000});
    fleet.configure(3);
    fleet.sim.run_for(duration{5000});
    EXPECT_EQ(fleet.history.starts, 2);
    EXPECT_EQ(fleet.show(job_id(1)).state, fleet::JOB_FAILED);
}

// Lasting work kept off the emptiest rack for most of its declared run time,
// also where nothing else could run it.
TEST(lasting_work, that_fits_on_the_emptiest_rack_only_starts_at_once) {
    virtual_fleet fleet({3, 1, 1});
    auto job = make_job(job_id(1), "hang", 1, small);
    job.mutable_steps(0)->set_lasting(true);
    job.mutable_steps(0)->set_estimate_ms(60'000);
    fleet.submit(job);
    EXPECT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 1; },
                                    duration{500}));
}

// While a stopping owner served its last callers, it took over the cell again
// with its old epoch, and did not pass on the reports of agents.
TEST(owner, that_has_stopped_does_not_take_over_again) {
    virtual_fleet fleet;
    const int old_owner = fleet.owner_entry();
    fleet.entry(old_owner).stop(fleet.sim.now + time_to_end);
    for (int n = 0; n < 20; ++n) {
        fleet.submit(make_job(job_id(n), "ms=50", 1, small), old_owner);
        fleet.sim.run_for(duration{100});
        EXPECT_FALSE(fleet.entry(old_owner).is_owner());
    }
}

TEST(owner, that_is_cut_off_from_the_store_causes_no_duplicate_run) {
    virtual_fleet fleet;
    const int old_owner = fleet.owner_entry();
    const int other = old_owner == 1 ? 2 : 1;
    fleet.store.client_faults[fmt::format("entry-{}", old_owner)] =
        store_fault::unresponsive;
    fleet.submit(make_job(job_id(1), "ms=3000", 4, small), other);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                     duration{12'000}, other));
    fleet.store.client_faults.clear();
    fleet.sim.run_for(duration{5000});
    int owners = 0;
    for (int n = 1; n <= 3; ++n)
        owners += fleet.entry(n).is_owner() ? 1 : 0;
    EXPECT_EQ(owners, 1);
    expect_no_violations(fleet);
}

TEST(agent, that_restarts_adopts_the_runs_of_its_server) {
    virtual_fleet fleet;
    fleet.submit(make_gang(job_id(1), "ms=3000", 3, whole_server));
    fleet.sim.run_until([&] { return fleet.history.starts == 3; },
                        duration{1000});
    for (int n = 1; n <= 6; ++n)
        fleet.kill_agent(n);
    fleet.sim.run_for(duration{700});
    for (int n = 1; n <= 6; ++n)
        fleet.start_agent(n);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
    EXPECT_EQ(fleet.history.starts, 3);
    expect_no_violations(fleet);
}

// The end of a gang member was acknowledged before the end of the gang was
// recorded. The next owner then started the gang again.
TEST(run_end, is_not_acknowledged_before_the_whole_gang_is_recorded) {
    virtual_fleet fleet;
    fleet.submit(make_gang(job_id(1), "ms=1000", 3, whole_server));
    fleet.sim.run_until([&] { return fleet.history.starts == 3; },
                        duration{1000});
    fleet.sim.run_for(duration{500});
    fleet.store.fault = store_fault::busy;
    fleet.sim.run_for(duration{1300});
    ASSERT_TRUE(fleet.history.running.empty());
    for (int n = 1; n <= 3; ++n)
        fleet.kill_entry(n);
    fleet.store.fault = store_fault::none;
    for (int n = 1; n <= 3; ++n)
        fleet.start_entry(n);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
    fleet.sim.run_for(duration{3000});
    EXPECT_EQ(fleet.history.starts, 3);
    expect_no_violations(fleet);
}

// ---- Store faults ----

TEST(store_outage, of_four_seconds_ends_no_run) {
    virtual_fleet fleet;
    fleet.submit(make_job(job_id(1), "ms=7000", 4, small));
    fleet.sim.run_until([&] { return fleet.history.starts == 4; },
                        duration{1000});
    fleet.store.fault = store_fault::unresponsive;
    fleet.sim.run_for(duration{4500});
    fleet.store.fault = store_fault::none;
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
    EXPECT_EQ(fleet.history.starts, 4);
    expect_no_violations(fleet);
}

TEST(store_outage, leads_to_refusals_only_of_jobs_that_never_run) {
    virtual_fleet fleet;
    fleet.store.fault = store_fault::busy;
    EXPECT_EQ(fleet.submit(make_job(job_id(1), "ms=100", 1, small)).kind,
              answer_kind::not_run);
    fleet.store.fault = store_fault::none;
    fleet.sim.run_for(duration{5000});
    EXPECT_EQ(fleet.history.starts, 0);
}

TEST(store_outage, with_delayed_writes_is_answered_as_outcome_unknown) {
    virtual_fleet fleet;
    fleet.store.fault = store_fault::delayed_writes;
    EXPECT_EQ(fleet.submit(make_job(job_id(1), "ms=100", 1, small)).kind,
              answer_kind::outcome_unknown);
    fleet.store.fault = store_fault::none;
    EXPECT_EQ(fleet.submit(make_job(job_id(1), "ms=100", 1, small), 2).kind,
              answer_kind::accepted);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
    fleet.sim.run_for(duration{5000});
    EXPECT_EQ(fleet.history.starts, 1);
}

TEST(store_outage, that_loses_replies_neither_duplicates_nor_loses_runs) {
    virtual_fleet fleet;
    fleet.store.fault = store_fault::lost_replies;
    fleet.submit(make_job(job_id(1), "ms=300", 2, small));
    fleet.sim.run_for(duration{1000});
    fleet.store.fault = store_fault::none;
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
    expect_no_violations(fleet);
}

// Watches returned no changes for a second. Jobs waited that long to be placed,
// and their callers waited that long to see the end.
TEST(store_outage, that_delays_watches_delays_no_job) {
    virtual_fleet fleet;
    fleet.store.delay_watches = true;
    for (int entry = 1; entry <= 3; ++entry) {
        fleet.submit(make_job(job_id(entry), "ms=200", 1, small), entry);
        const auto is_shown = [&] {
            return fleet.show(job_id(entry), 4 - entry).state ==
                   fleet::JOB_COMPLETED;
        };
        EXPECT_TRUE(fleet.sim.run_until(is_shown, duration{400}))
            << "submitted at entry " << entry;
    }
    expect_no_violations(fleet);
}

TEST(store_outage, that_drops_the_history_hides_no_change) {
    virtual_fleet fleet;
    fleet.store.client_faults["entry-2"] = store_fault::unresponsive;
    fleet.submit(make_job(job_id(1), "ms=100", 1, small), 1);
    fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED, duration{9000}, 1);
    fleet.store.compact();
    fleet.store.client_faults.clear();
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                     duration{4000}, 2));
}

// ---- Backend server faults ----

TEST(backend_server, that_crashes_has_its_tasks_restarted_on_another) {
    virtual_fleet fleet;
    fleet.submit(make_job(job_id(1), "ms=1000", 1, whole_server));
    fleet.sim.run_until([&] { return fleet.history.starts == 1; },
                        duration{1000});
    for (int n = 1; n <= 6; ++n)
        if (fleet.server(n).running_count() > 0)
            fleet.server(n).crash();
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                     duration{15'000}));
    EXPECT_EQ(fleet.history.starts, 2);
    expect_no_violations(fleet);
}

// After a power loss tasks started from the beginning, because checkpoints were
// recorded only when a run ended.
TEST(backend_server, that_crashes_does_not_lose_recorded_checkpoints) {
    virtual_fleet fleet;
    fleet.submit(make_job(job_id(1), "ms=8000", 1, whole_server));
    fleet.sim.run_for(duration{5000});
    for (int n = 1; n <= 3; ++n)
        fleet.kill_entry(n);
    for (int n = 1; n <= 6; ++n)
        fleet.server(n).restart();
    for (int n = 1; n <= 3; ++n)
        fleet.start_entry(n);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                     duration{12'000}));
    ASSERT_EQ(fleet.history.resumed_checkpoints.size(), 1U);
    EXPECT_GE(fleet.history.resumed_checkpoints[0], duration{2000});
    expect_no_violations(fleet);
}

TEST(backend_server, that_restarts_under_its_id_is_a_new_incarnation) {
    virtual_fleet fleet;
    fleet.submit(make_job(job_id(1), "ms=1000", 1, whole_server));
    fleet.sim.run_until([&] { return fleet.history.starts == 1; },
                        duration{1000});
    for (int n = 1; n <= 6; ++n)
        if (fleet.server(n).running_count() > 0)
            fleet.server(n).restart();
    EXPECT_TRUE(
        fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED, duration{5000}));
    EXPECT_EQ(fleet.history.starts, 2);
    expect_no_violations(fleet);
}

TEST(backend_server, that_answers_no_start_has_it_fenced_before_a_retry) {
    for (const auto fault : {call_fault::lost_replies, call_fault::delayed}) {
        virtual_fleet fleet;
        for (int n = 1; n <= 6; ++n)
            fleet.server(n).fault = fault;
        fleet.submit(make_job(job_id(1), "ms=700", 3, small));
        fleet.sim.run_for(duration{1200});
        for (int n = 1; n <= 6; ++n)
            fleet.server(n).fault = call_fault::none;
        EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                         duration{20'000}));
        fleet.sim.run_for(duration{5000});
        expect_no_violations(fleet);
    }
}

TEST(backend_server, that_fails_every_run_does_not_use_up_all_attempts) {
    virtual_fleet fleet;
    fleet.server(1).fails_all_runs = true;
    for (int n = 1; n <= 12; ++n)
        fleet.submit(make_job(job_id(n), "ms=300", 1, small));
    for (int n = 1; n <= 12; ++n)
        EXPECT_TRUE(fleet.wait_for_state(job_id(n), fleet::JOB_COMPLETED)) << n;
}

// An urgent gang met one server after the other that fails all it starts. Its
// four attempts were spent within 0.8 s, while sound servers were about to
// become free.
TEST(backend_server, that_fails_every_run_does_not_fail_an_urgent_gang) {
    virtual_fleet fleet{virtual_fleet::fleet_size{3, 14, 7}};
    for (int n = 1; n <= 7; ++n)
        fleet.server(n).fails_all_runs = true;
    auto sound = make_job(job_id(1), "ms=2500", 7, whole_server);
    sound.mutable_steps(0)->set_required_label("rack-1");
    fleet.submit(sound, 1, "cwm-key", "/urgent/");
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 7; },
                                    duration{1000}));
    fleet.sim.run_for(duration{500});
    auto gang = make_gang(job_id(2), "ms=1500", 2, whole_server);
    gang.mutable_steps(0)->set_same_rack(false);
    fleet.submit(gang, 1, "kwela-key", "/urgent/");
    EXPECT_TRUE(
        fleet.wait_for_state(job_id(2), fleet::JOB_COMPLETED, duration{9000}));
    expect_no_violations(fleet);
}

TEST(backend_server, with_stalled_runs_has_them_restarted) {
    virtual_fleet fleet;
    fleet.submit(make_job(job_id(1), "ms=500", 1, small));
    fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED);
    fleet.submit(make_job(job_id(2), "hang", 1, small));
    fleet.sim.run_until([&] { return fleet.history.starts == 2; },
                        duration{1000});
    EXPECT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts >= 3; },
                                    duration{6000}));
}

// A task of some minutes reports a new percent of progress only every few
// seconds. Each of its runs was taken for stalled and stopped, so that the task
// never ended.
TEST(backend_server, keeps_a_long_run_that_reports_progress_rarely) {
    virtual_fleet fleet;
    auto job = make_job(job_id(1), "ms=600000", 1, small);
    job.mutable_steps(0)->set_estimate_ms(90'000);
    fleet.submit(job);
    fleet.sim.run_for(duration{30'000});
    EXPECT_EQ(fleet.history.starts, 1);
    EXPECT_EQ(fleet.history.running.size(), 1U);
}

// Urgent gangs waited 2.8 s and longer before a stalled member was detected.
TEST(backend_server, with_stalled_short_gangs_has_them_restarted_sooner) {
    virtual_fleet fleet;
    for (int n = 1; n <= 6; ++n)
        fleet.submit(make_job(job_id(n), "ms=1000", 1, small));
    for (int n = 1; n <= 6; ++n)
        fleet.wait_for_state(job_id(n), fleet::JOB_COMPLETED);
    fleet.submit(make_gang(job_id(9), "hang", 2, small));
    fleet.sim.run_until([&] { return fleet.history.starts == 8; },
                        duration{1000});
    EXPECT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts >= 10; },
                                    duration{2600}));
}

// Servers that were removed at two seconds' notice took their agents with them.
// The loss of their runs was detected only 5.5 s later.
TEST(backend_server, that_leaves_has_runs_moved_that_cannot_end_in_time) {
    virtual_fleet fleet;
    fleet.submit(make_job(job_id(1), "ms=8000", 1, small));
    fleet.submit(make_job(job_id(2), "ms=1500", 1, small));
    fleet.sim.run_until([&] { return fleet.history.starts == 2; },
                        duration{1000});
    fleet.sim.run_for(duration{900});
    int leaving = 0;
    for (int n = 1; n <= 6; ++n)
        if (fleet.server(n).running_count() == 2)
            leaving = n;
    ASSERT_NE(leaving, 0);
    fleet.server(leaving).draining = true;
    fleet.server(leaving).remaining = duration{2000};
    EXPECT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 3; },
                                    duration{1500}));
    EXPECT_TRUE(
        fleet.wait_for_state(job_id(2), fleet::JOB_COMPLETED, duration{1500}));
    fleet.kill_agent(leaving);
    fleet.server(leaving).crash();
    EXPECT_TRUE(
        fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED, duration{9000}));
    EXPECT_EQ(fleet.history.starts, 3);
    expect_no_violations(fleet);
}

// A server restarted under its id. Until its next heartbeat the agent
// acknowledged ends by the count of the earlier incarnation. The end of a task
// that had been started meanwhile was dropped, and the task ran again.
TEST(backend_server, that_restarts_between_heartbeats_loses_no_run_end) {
    for (int offset_ms = 0; offset_ms < 500; offset_ms += 20) {
        virtual_fleet fleet({3, 1, 1});
        fleet.submit(make_job(job_id(1), "ms=200", 4, small));
        ASSERT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
        fleet.sim.run_for(duration{offset_ms});
        fleet.server(1).restart();
        fleet.submit(make_job(job_id(2), "ms=60", 2, small));
        EXPECT_TRUE(fleet.wait_for_state(job_id(2), fleet::JOB_COMPLETED))
            << offset_ms;
        expect_no_violations(fleet);
    }
}

// A server became six times slower. Its runs were late although other servers
// were idle.
TEST(backend_server, that_is_slow_has_its_runs_moved_once) {
    virtual_fleet fleet;
    for (int n = 1; n <= 6; ++n)
        fleet.submit(make_job(job_id(n), "ms=2000", 1, small));
    for (int n = 1; n <= 6; ++n)
        fleet.wait_for_state(job_id(n), fleet::JOB_COMPLETED);
    for (int n = 1; n <= 3; ++n)
        fleet.server(n).run_time_percent = 600;
    const auto before = fleet.sim.now;
    for (int n = 11; n <= 16; ++n)
        fleet.submit(make_job(job_id(n), "ms=2000", 1, small));
    for (int n = 11; n <= 16; ++n)
        EXPECT_TRUE(fleet.wait_for_state(job_id(n), fleet::JOB_COMPLETED)) << n;
    EXPECT_LT(fleet.sim.now - before, duration{8000});
    expect_no_violations(fleet);
}

// Declared run times are off by up to nine tenths, so a run that takes longer
// does not show that its server is slow.
TEST(backend_server, keeps_the_runs_of_a_job_that_was_declared_too_short) {
    virtual_fleet fleet;
    auto job = make_job(job_id(1), "ms=8000", 3, small);
    job.mutable_steps(0)->set_estimate_ms(800);
    fleet.submit(job);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
    EXPECT_EQ(fleet.history.starts, 3);
}

// All tasks of a large job are long. Two of them on one server that take twice
// the expected run time do not show that the server is slow. On a day without
// any slow server 167 tasks were moved, and a tenth of the day's value was
// lost.
TEST(backend_server, keeps_the_runs_of_a_large_job) {
    virtual_fleet fleet;
    for (int n = 1; n <= 6; ++n)
        fleet.submit(make_job(job_id(n), "ms=1500", 1, small));
    for (int n = 1; n <= 6; ++n)
        fleet.wait_for_state(job_id(n), fleet::JOB_COMPLETED);
    fleet.submit(make_job(job_id(11), "ms=5000", 12, small));
    EXPECT_TRUE(fleet.wait_for_state(job_id(11), fleet::JOB_COMPLETED));
    EXPECT_EQ(fleet.history.starts, 6 + 12);
}

// The tasks of one step have the same amount of work, so they show which of
// their servers is slow.
TEST(backend_server, that_is_slow_is_detected_from_other_tasks_of_a_step) {
    virtual_fleet fleet;
    fleet.server(2).run_time_percent = 500;
    const auto before = fleet.sim.now;
    fleet.submit(make_job(job_id(1), "ms=3000", 6, whole_server));
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
    EXPECT_LT(fleet.sim.now - before, duration{9000});
    EXPECT_EQ(fleet.history.starts, 7);
}

// A new owner took the rest of an adopted run for a whole run, and therefore
// took every server for slow.
TEST(backend_server, is_not_taken_for_slow_because_of_adopted_runs) {
    virtual_fleet fleet;
    for (int n = 1; n <= 6; ++n)
        fleet.submit(make_job(job_id(n), "ms=3000", 1, small), 3);
    fleet.sim.run_for(duration{2500});
    fleet.kill_entry(fleet.owner_entry());
    fleet.sim.run_for(duration{2500});
    for (int n = 11; n <= 16; ++n)
        fleet.submit(make_job(job_id(n), "ms=3000", 1, small), 3);
    for (int n = 11; n <= 16; ++n)
        EXPECT_TRUE(fleet.wait_for_state(job_id(n), fleet::JOB_COMPLETED,
                                         duration{30'000}, 3));
    EXPECT_EQ(fleet.history.starts, 12);
}

// A resumed run makes no progress until its checkpoint is restored. That time
// counted as slowness: runs were stopped again, and healthy servers got no
// gangs for seconds.
TEST(backend_server, is_not_taken_for_slow_while_it_restores_checkpoints) {
    virtual_fleet fleet;
    for (int n = 1; n <= 6; ++n)
        fleet.server(n).restore_time = duration{900};
    constexpr fleet::resources half_server{64'000, 100'000, 4};
    fleet.submit(make_job(job_id(1), "ms=8000", 12, half_server));
    fleet.sim.run_for(duration{4000});
    ASSERT_EQ(fleet.history.starts, 12);
    fleet.server(1).restart();
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
    EXPECT_EQ(fleet.history.resumed_checkpoints.size(), 2U);
    EXPECT_EQ(fleet.history.starts, 12 + 2);
    expect_no_violations(fleet);
}

// ---- Network partitions ----

TEST(agent, that_is_cut_off_lets_its_runs_expire_before_others_start) {
    virtual_fleet fleet;
    fleet.submit(make_job(job_id(1), "ms=20000", 1, whole_server));
    fleet.sim.run_until([&] { return fleet.history.starts == 1; },
                        duration{1000});
    for (int n = 1; n <= 6; ++n)
        if (fleet.server(n).running_count() > 0)
            for (int entry = 1; entry <= 3; ++entry)
                fleet.set_link(entry, n, false);
    EXPECT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 2; },
                                    duration{10'000}));
    expect_no_violations(fleet);
}

// An agent reconnected and reported the end of an abandoned run. The end was
// acknowledged and dropped, and the task ran again.
TEST(agent, that_reconnects_with_a_completed_run_completes_its_job) {
    virtual_fleet fleet;
    fleet.submit(make_job(job_id(1), "ms=2000", 1, whole_server));
    fleet.sim.run_until([&] { return fleet.history.starts == 1; },
                        duration{1000});
    int cut_off = 0;
    for (int n = 1; n <= 6; ++n)
        if (fleet.server(n).running_count() > 0)
            cut_off = n;
    for (int entry = 1; entry <= 3; ++entry)
        fleet.set_link(entry, cut_off, false);
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 2; },
                                    duration{10'000}));
    for (int entry = 1; entry <= 3; ++entry)
        fleet.set_link(entry, cut_off, true);
    EXPECT_TRUE(
        fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED, duration{1000}));
    EXPECT_TRUE(fleet.sim.run_until(
        [&] { return fleet.history.running.empty(); }, duration{1000}));
    expect_no_violations(fleet);
}

// The newer run was dropped without a stop. Its start, carried out late, found
// its room given to another task.
TEST(agent, that_reconnects_with_a_completed_run_has_the_newer_run_stopped) {
    virtual_fleet fleet{{3, 2, 2}};
    fleet.submit(make_job(job_id(1), "ms=2000", 1, whole_server));
    fleet.sim.run_until([&] { return fleet.history.starts == 1; },
                        duration{1000});
    const int cut_off = fleet.server(1).running_count() > 0 ? 1 : 2;
    const int other = 3 - cut_off;
    for (int entry = 1; entry <= 3; ++entry)
        fleet.set_link(entry, cut_off, false);
    ASSERT_TRUE(fleet.sim.run_until(
        [&] {
            const auto& servers =
                fleet.entry(fleet.owner_entry()).owner_state().servers;
            return !servers.at(fmt::format("agent-{}", other)).assigned.empty();
        },
        duration{10'000}));
    fleet.server(other).fault = call_fault::delayed;
    fleet.sim.run_for(duration{100});
    for (int entry = 1; entry <= 3; ++entry)
        fleet.set_link(entry, cut_off, true);
    EXPECT_TRUE(
        fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED, duration{1500}));
    fleet.server(other).fault = call_fault::none;
    fleet.kill_agent(other);
    fleet.start_agent(other);
    fleet.submit(make_job(job_id(2), "ms=4000", 2, whole_server));
    EXPECT_TRUE(fleet.wait_for_state(job_id(2), fleet::JOB_COMPLETED));
    expect_no_violations(fleet);
}

TEST(agent, that_is_cut_off_briefly_keeps_its_runs) {
    virtual_fleet fleet;
    fleet.submit(make_job(job_id(1), "ms=6000", 1, whole_server));
    fleet.sim.run_until([&] { return fleet.history.starts == 1; },
                        duration{1000});
    for (int n = 1; n <= 6; ++n)
        for (int entry = 1; entry <= 3; ++entry)
            fleet.set_link(entry, n, false);
    fleet.sim.run_for(duration{3000});
    for (int n = 1; n <= 6; ++n)
        for (int entry = 1; entry <= 3; ++entry)
            fleet.set_link(entry, n, true);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
    EXPECT_EQ(fleet.history.starts, 1);
}

// ---- Backlog after an outage ----

// After a power loss urgent jobs without any payoff left ran first, in order of
// arrival, and delayed jobs that could still be in time.
TEST(backlog, runs_jobs_that_can_be_in_time_before_late_ones) {
    virtual_fleet fleet;
    // Each gang fills the fleet. It is declared to run for a second, and is in
    // time if it ends within 1.75 s.
    const auto make_urgent_gang = [](int n) {
        auto job = make_gang(job_id(n), "ms=1000", 6, whole_server);
        job.mutable_steps(0)->set_same_rack(false);
        return job;
    };
    for (int n = 1; n <= 3; ++n)
        fleet.submit(make_urgent_gang(n), 1, "kwela-key", "/urgent/");
    fleet.sim.run_until([&] { return fleet.history.starts == 12; },
                        duration{2000});
    // The third gang is already late when the second one ends.
    fleet.sim.run_for(duration{600});
    fleet.submit(make_urgent_gang(4), 1, "kwela-key", "/urgent/");
    const auto submitted_at = fleet.sim.now;
    EXPECT_TRUE(fleet.wait_for_state(job_id(4), fleet::JOB_COMPLETED));
    EXPECT_LT(fleet.sim.now - submitted_at, duration{1750});
    EXPECT_TRUE(fleet.wait_for_state(job_id(3), fleet::JOB_COMPLETED));
    expect_no_violations(fleet);
}

// Gangs that need many whole servers never found them free at the same time, as
// smaller tasks took each one that became free. Four waited for more than 20 s.
TEST(backlog, reserves_servers_for_a_large_gang_that_has_waited) {
    virtual_fleet fleet;
    int next_id = 100;
    // A task of 1.5 s for one whole server, submitted every quarter of a
    // second.
    const auto submit_small_task = [&] {
        fleet.submit_async(
            make_job(job_id(next_id++), "ms=1500", 1, whole_server), 1,
            "cwm-key", "/normal/");
    };
    for (int n = 0; n < 8; ++n)
        submit_small_task();
    fleet.sim.run_for(duration{300});
    auto large = make_gang(job_id(1), "ms=1500", 5, whole_server);
    large.mutable_steps(0)->set_same_rack(false);
    fleet.submit(large);
    for (int n = 0; n < 32; ++n) {
        submit_small_task();
        fleet.sim.run_for(duration{250});
    }
    EXPECT_TRUE(
        fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED, duration{10}));
    expect_no_violations(fleet);
}

// Each run from before a loss of power is fenced before its task starts again.
// The fence of a run that was not there any more took 0.4 s.
TEST(power_loss, is_followed_by_restarts_as_soon_as_servers_return) {
    virtual_fleet fleet;
    fleet.submit(make_gang(job_id(1), "ms=9000", 3, whole_server));
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 3; },
                                    duration{1000}));
    lose_power(fleet);
    for (int n = 1; n <= 6; ++n)
        return_server(fleet, n);
    // The heartbeats of the servers are half a second apart.
    EXPECT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 6; },
                                    duration{600}));
    expect_no_violations(fleet);
}

// The servers returned one after the other. Batch work filled the first ones,
// and urgent gangs that need a rack had to preempt it or to wait for its end.
TEST(power_loss, is_followed_by_urgent_work_before_batch_work) {
    virtual_fleet fleet;
    for (int n = 1; n <= 2; ++n) {
        auto gang = make_gang(job_id(n), "ms=9000", 3, whole_server);
        gang.mutable_steps(0)->set_estimate_ms(9000);
        fleet.submit(gang, 1, "kwela-key", "/urgent/");
    }
    fleet.submit(make_job(job_id(3), "ms=6000", 6, whole_server));
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 6; },
                                    duration{1000}));
    lose_power(fleet);
    for (const int n : {1, 4, 2, 5, 3, 6}) {
        return_server(fleet, n);
        fleet.sim.run_for(duration{100});
    }
    EXPECT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 12; },
                                    duration{600}));
    for (const auto& [task, server] : fleet.history.running)
        EXPECT_FALSE(task.starts_with(job_id(3)));
    expect_no_violations(fleet);
}

// A lasting job has no end that could be late. It was ordered behind all other
// jobs once it had run for several times its declared run time.
TEST(backlog, restarts_a_lasting_job_in_its_turn) {
    virtual_fleet fleet;
    auto lasting = make_job(job_id(1), "ms=600000", 1, whole_server);
    lasting.mutable_steps(0)->set_lasting(true);
    fleet.submit(lasting);
    fleet.sim.run_for(duration{10'000});
    for (int n = 2; n <= 31; ++n)
        fleet.submit_async(make_job(job_id(n), "ms=3000", 1, whole_server), 1,
                           "cwm-key", "/normal/");
    fleet.sim.run_for(duration{200});
    const auto task = job_id(1) + ".0.0.0";
    ASSERT_TRUE(fleet.history.running.contains(task));
    for (int n = 1; n <= 6; ++n)
        fleet.server(n).restart();
    fleet.sim.run_for(duration{100});
    ASSERT_FALSE(fleet.history.running.contains(task));
    EXPECT_TRUE(fleet.sim.run_until(
        [&] { return fleet.history.running.contains(task); }, duration{2500}));
}

// An urgent gang of one second waited 9 s for a single rack. Spread over two
// racks it would have taken 3 s.
TEST(backlog, spreads_a_short_gang_rather_than_wait_for_one_rack) {
    virtual_fleet fleet;
    for (int n = 1; n <= 2; ++n)
        fleet.submit(make_job(job_id(n), "ms=20000", 1, whole_server), 1,
                     "kwela-key", "/urgent/");
    fleet.submit(make_gang(job_id(3), "ms=20000", 2, whole_server), 1,
                 "kwela-key", "/urgent/");
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.history.starts == 4; },
                                    duration{1000}));
    fleet.submit(make_gang(job_id(4), "ms=1000", 2, whole_server), 1,
                 "kwela-key", "/urgent/");
    EXPECT_TRUE(
        fleet.wait_for_state(job_id(4), fleet::JOB_COMPLETED, duration{6000}));
    expect_no_violations(fleet);
}

// ---- Entries that are cut off from the store ----

TEST(entry_cut_off_from_the_store,
     accepts_and_shows_jobs_through_another_entry) {
    for (const auto fault : {store_fault::unresponsive, store_fault::busy}) {
        virtual_fleet fleet;
        const int cut_off = fleet.owner_entry() == 1 ? 2 : 1;
        fleet.store.client_faults[fmt::format("entry-{}", cut_off)] = fault;
        EXPECT_EQ(
            fleet.submit(make_job(job_id(1), "ms=300", 2, small), cut_off).kind,
            answer_kind::accepted);
        EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                         duration{4000}, cut_off));
        fleet.sim.run_for(duration{6000});
        EXPECT_TRUE(fleet.entry(cut_off).is_ready());
        EXPECT_EQ(fleet.show(job_id(9), cut_off).kind,
                  answer_kind::unknown_job);
        expect_no_violations(fleet);
    }
}

TEST(entry_cut_off_from_the_store, remains_the_owner_of_the_cell) {
    for (const auto fault : {store_fault::unresponsive, store_fault::busy}) {
        virtual_fleet fleet;
        const int owner = fleet.owner_entry();
        const auto epoch = fleet.entry(owner).owner_state().epoch;
        fleet.store.client_faults[fmt::format("entry-{}", owner)] = fault;
        fleet.sim.run_for(duration{5000});
        EXPECT_EQ(fleet.owner_entry(), owner);
        EXPECT_EQ(fleet.entry(owner).owner_state().epoch, epoch);
        fleet.store.client_faults.clear();
        fleet.sim.run_for(duration{3000});
        EXPECT_EQ(fleet.entry(owner).owner_state().epoch, epoch);
    }
}

TEST(entry_cut_off_from_the_store, applies_new_configurations) {
    virtual_fleet fleet;
    fleet.store.client_faults["entry-1"] = store_fault::unresponsive;
    fleet.sim.run_for(duration{1500});
    fleet.configure(7);
    fleet.sim.run_for(duration{1500});
    EXPECT_EQ(fleet.entry(1).api().config->version, 7);
}

TEST(entry_cut_off_from_the_store,
     serves_callers_if_it_was_cut_off_at_its_start) {
    virtual_fleet fleet;
    const int cut_off = fleet.owner_entry() == 1 ? 2 : 1;
    fleet.store.client_faults[fmt::format("entry-{}", cut_off)] =
        store_fault::busy;
    fleet.kill_entry(cut_off);
    fleet.sim.run_for(duration{500});
    fleet.start_entry(cut_off);
    EXPECT_TRUE(fleet.sim.run_until(
        [&] { return fleet.entry(cut_off).is_ready(); }, duration{3000}));
    EXPECT_EQ(
        fleet.submit(make_job(job_id(1), "ms=300", 2, small), cut_off).kind,
        answer_kind::accepted);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
}

TEST(entry_cut_off_from_the_store, uses_a_third_entry_if_one_has_ended) {
    virtual_fleet fleet;
    fleet.store.client_faults["entry-1"] = store_fault::unresponsive;
    fleet.sim.run_for(duration{2000});
    fleet.kill_entry(2);
    fleet.sim.run_for(duration{1200});
    EXPECT_EQ(fleet.submit(make_job(job_id(1), "ms=300", 2, small), 1).kind,
              answer_kind::accepted);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                     duration{6000}, 1));
    expect_no_violations(fleet);
}

// After an outage callers, watches and the owner waited for 0.7 to 2.2 s for
// calls that had been lost during it.
TEST(fleet_cut_off_from_the_store, resumes_as_soon_as_the_store_answers) {
    for (int offset_ms = 0; offset_ms < 1000; offset_ms += 90) {
        virtual_fleet fleet;
        fleet.store.fault = store_fault::unresponsive;
        fleet.sim.run_for(duration{1200 + offset_ms});
        fleet.submit_async(make_job(job_id(1), "ms=100", 1, small), 2,
                           "kwela-key", "/normal/");
        fleet.sim.run_for(duration{1000});
        fleet.configure(7);
        fleet.store.fault = store_fault::none;
        EXPECT_TRUE(fleet.sim.run_until(
            [&] {
                bool recovered =
                    fleet.state_at_any_entry(job_id(1)).has_value();
                for (int n = 1; n <= 3; ++n)
                    recovered =
                        recovered && fleet.entry(n).api().config->version == 7;
                return recovered;
            },
            duration{450}))
            << offset_ms;
    }
}

TEST(fleet_cut_off_from_the_store, refuses_jobs_and_recovers) {
    virtual_fleet fleet;
    fleet.store.fault = store_fault::busy;
    fleet.sim.run_for(duration{1000});
    EXPECT_EQ(fleet.submit(make_job(job_id(1), "ms=300", 1, small), 1).kind,
              answer_kind::not_run);
    fleet.store.fault = store_fault::none;
    fleet.sim.run_for(duration{3000});
    EXPECT_EQ(fleet.show(job_id(1), 2).kind, answer_kind::unknown_job);
    EXPECT_EQ(fleet.submit(make_job(job_id(1), "ms=300", 1, small), 1).kind,
              answer_kind::accepted);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
    expect_no_violations(fleet);
}

} // namespace celerylift::test
