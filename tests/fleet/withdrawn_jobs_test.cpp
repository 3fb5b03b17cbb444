// Jobs that are cancelled while the write of their submission is on its way to
// the store, which may carry it out seconds later.
#include "virtual_fleet.hpp"

#include <celerylift/fleet/names.hpp>
#include <celerylift/fleet/withdrawals.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <set>
#include <string>
#include <vector>

namespace celerylift::test {

namespace {

using fleet::answer_kind;
using fleet::job_part;

constexpr fleet::resources small{8'000, 16'000, 1};
/// Until a delayed write has been carried out, and its job could have run.
constexpr duration late_write_time{6000};
constexpr duration withdrawal_time = fleet::withdrawal_lease_ttl;

std::string job_id(int n) {
    return fmt::format("{:016x}", n);
}

std::string cancellation_key(int n) {
    return fleet::job_key(job_id(n), job_part::cancellation);
}

std::string submission_key(int n) {
    return fleet::job_key(job_id(n), job_part::submission);
}

time_point at(int ms) {
    return time_point{duration{ms}};
}

void expect_no_violations(const virtual_fleet& fleet) {
    for (const auto& violation : fleet.history.violations)
        ADD_FAILURE() << violation;
    if (::testing::Test::HasFailure() && std::getenv("FLEET_LOG"))
        for (const auto& line : fleet.sim.log)
            fmt::print("{}\n", line);
}

/// The value of a submission as an entry of an earlier version stores it: it
/// does not check for withdrawals.
std::string submission_of_earlier_version(int n) {
    auto job = make_job(job_id(n), "ms=500", 1, small);
    job.set_queue("normal");
    job.set_organisation("kwela");
    return job.SerializeAsString();
}

/// A caller hands a job in at entry 1, whose writes are carried out late, gets
/// no answer, and cancels it elsewhere.
class withdrawn_job : public ::testing::Test {
protected:
    withdrawn_job() {
        fleet.store.client_faults["entry-1"] = store_fault::delayed_writes;
        EXPECT_EQ(submit(1), answer_kind::outcome_unknown);
    }

    answer_kind submit(int entry, const std::string& key = "kwela-key") {
        return fleet.submit(make_job(job_id(1), "ms=500", 1, small), entry, key)
            .kind;
    }

    void withdraw(int entry = 2) {
        EXPECT_EQ(fleet.cancel(job_id(1), entry).kind,
                  answer_kind::unknown_job);
    }

    void expect_no_run() {
        fleet.sim.run_for(late_write_time);
        EXPECT_EQ(fleet.history.starts, 0);
        EXPECT_FALSE(fleet.store.get(submission_key(1)));
        EXPECT_EQ(fleet.show(job_id(1), 2).kind, answer_kind::unknown_job);
        expect_no_violations(fleet);
    }

    virtual_fleet fleet;
};

} // namespace

// The only condition of the late write was that the submission's key does not
// exist, and the cancellation left nothing behind.
TEST_F(withdrawn_job, is_not_run_by_a_write_that_is_carried_out_late) {
    withdraw();
    expect_no_run();
}

TEST_F(withdrawn_job, is_not_run_by_the_next_owner) {
    withdraw();
    const int owner = fleet.owner_entry();
    fleet.kill_entry(owner);
    fleet.store.compact();
    fleet.start_entry(owner);
    expect_no_run();
}

TEST_F(withdrawn_job, is_not_run_after_all_entries_have_restarted) {
    withdraw();
    for (int n = 1; n <= 3; ++n)
        fleet.kill_entry(n);
    for (int n = 1; n <= 3; ++n)
        fleet.start_entry(n);
    expect_no_run();
}

// Without the cancellation the late write is the caller's job, and is run once.
TEST_F(withdrawn_job, would_have_run_without_its_cancellation) {
    EXPECT_EQ(fleet.show(job_id(1), 2).kind, answer_kind::unknown_job);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                     duration{10'000}));
    EXPECT_EQ(fleet.history.starts, 1);
}

TEST_F(withdrawn_job, is_cancelled_where_its_write_comes_first) {
    ASSERT_TRUE(fleet.sim.run_until(
        [&] { return fleet.store.get(submission_key(1)).has_value(); },
        duration{5000}));
    EXPECT_EQ(fleet.cancel(job_id(1), 2).kind, answer_kind::accepted);
    fleet.sim.run_for(late_write_time);
    EXPECT_EQ(fleet.show(job_id(1), 2).state, fleet::JOB_CANCELLED);
    EXPECT_TRUE(fleet.history.running.empty());
}

// The answer to the cancellation is lost, or comes too late.
TEST_F(withdrawn_job, can_be_withdrawn_again_at_another_entry) {
    // The entry has its lease already.
    EXPECT_EQ(fleet.cancel(job_id(2), 2).kind, answer_kind::unknown_job);
    fleet.store.client_faults["entry-2"] = store_fault::lost_replies;
    EXPECT_EQ(fleet.cancel(job_id(1), 2).kind, answer_kind::outcome_unknown);
    withdraw(3);
    withdraw(3);
    fleet.store.client_faults.clear();
    expect_no_run();
}

TEST_F(withdrawn_job, is_not_accepted_while_its_withdrawal_lasts) {
    withdraw();
    EXPECT_EQ(submit(3), answer_kind::not_run);
    EXPECT_EQ(submit(2), answer_kind::not_run);
    expect_no_run();
}

TEST_F(withdrawn_job, can_be_submitted_anew_after_some_minutes) {
    withdraw();
    fleet.store.client_faults.clear();
    fleet.sim.run_for(withdrawal_time);
    EXPECT_FALSE(fleet.store.get(cancellation_key(1)));
    // The watches may show the end of the withdrawal only after the job.
    fleet.store.delay_watches = true;
    EXPECT_EQ(submit(2), answer_kind::accepted);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                     duration{10'000}));
    EXPECT_EQ(fleet.history.starts, 1);
    expect_no_violations(fleet);
}

// Clients choose the ids, and two organisations may choose the same.
TEST_F(withdrawn_job, does_not_keep_another_organisation_from_its_id) {
    withdraw();
    EXPECT_EQ(submit(3, "cwm-key"), answer_kind::accepted);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                     duration{10'000}));
    EXPECT_EQ(fleet.history.starts, 1);
    fleet.sim.run_for(late_write_time);
    EXPECT_EQ(fleet.history.starts, 1);
}

TEST_F(withdrawn_job, stays_withdrawn_when_another_organisation_withdraws_it) {
    withdraw();
    EXPECT_EQ(fleet.cancel(job_id(1), 3, "cwm-key").kind,
              answer_kind::unknown_job);
    EXPECT_EQ(submit(2), answer_kind::not_run);
    EXPECT_EQ(submit(3, "cwm-key"), answer_kind::not_run);
    expect_no_run();
}

// Anyone may cancel the jobs of a public queue, with a key or without one.
TEST(job_of_a_public_queue, can_be_withdrawn_without_a_key) {
    virtual_fleet fleet;
    auto config = virtual_fleet::default_config(2);
    for (auto& queue : config.queues)
        queue.is_public = true;
    fleet.configure(config);
    fleet.sim.run_for(duration{300});
    EXPECT_EQ(fleet.cancel(job_id(1), 2, "").kind, answer_kind::unknown_job);
    const auto job = make_job(job_id(1), "ms=500", 1, small);
    EXPECT_EQ(fleet.submit(job, 3).kind, answer_kind::not_run);
    EXPECT_EQ(fleet.submit(job, 1, "").kind, answer_kind::not_run);
}

// ---- The store is away ----

TEST(cancellation, is_not_answered_before_it_is_stored) {
    for (const auto fault : {store_fault::unresponsive, store_fault::busy}) {
        virtual_fleet fleet;
        fleet.store.fault = fault;
        const auto answer = fleet.cancel(job_id(1), 2).kind;
        EXPECT_TRUE(answer == answer_kind::unavailable ||
                    answer == answer_kind::outcome_unknown);
    }
}

// A cancellation whose job has ended and was removed meanwhile. It would stay
// in the store for good.
TEST(cancellation, of_a_job_that_is_not_on_record_any_more_leaves_no_key) {
    virtual_fleet fleet;
    fleet.submit(make_job(job_id(1), "ms=60000", 1, small));
    fleet.sim.run_for(duration{500});
    fleet.store.silence_watches = true;
    fleet.store.remove(submission_key(1));
    fleet.store.remove(fleet::job_key(job_id(1), job_part::progress));
    EXPECT_EQ(fleet.cancel(job_id(1), 2).kind, answer_kind::unknown_job);
    fleet.store.silence_watches = false;
    fleet.sim.run_for(withdrawal_time);
    EXPECT_FALSE(fleet.store.get(cancellation_key(1)));
}

// ---- Entries of an earlier version ----

// They store a submission without regard to withdrawals. The owner sees the two
// in either order, or together after a takeover.
TEST(submission_by_an_earlier_version, is_cancelled_by_an_earlier_withdrawal) {
    virtual_fleet fleet;
    EXPECT_EQ(fleet.cancel(job_id(1), 2).kind, answer_kind::unknown_job);
    fleet.store.put(submission_key(1), submission_of_earlier_version(1));
    fleet.sim.run_for(duration{3000});
    EXPECT_EQ(fleet.show(job_id(1), 3).state, fleet::JOB_CANCELLED);
    fleet.sim.run_for(withdrawal_time);
    EXPECT_EQ(fleet.show(job_id(1), 3).state, fleet::JOB_CANCELLED);
    EXPECT_EQ(fleet.history.starts, 0);
}

TEST(submission_by_an_earlier_version, is_not_started_by_the_next_owner) {
    virtual_fleet fleet;
    EXPECT_EQ(fleet.cancel(job_id(1), 2).kind, answer_kind::unknown_job);
    for (int n = 1; n <= 3; ++n)
        fleet.kill_entry(n);
    fleet.store.put(submission_key(1), submission_of_earlier_version(1));
    fleet.store.compact();
    for (int n = 1; n <= 3; ++n)
        fleet.start_entry(n);
    fleet.sim.run_for(late_write_time);
    EXPECT_EQ(fleet.show(job_id(1), 3).state, fleet::JOB_CANCELLED);
    EXPECT_EQ(fleet.history.starts, 0);
}

TEST(submission_by_an_earlier_version, runs_without_a_withdrawal) {
    virtual_fleet fleet;
    fleet.history.payloads[job_id(1)] = "ms=500";
    fleet.history.needs[job_id(1)] = {small};
    fleet.store.put(submission_key(1), submission_of_earlier_version(1));
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
}

// ---- What withdrawals cost ----

namespace {

/// Cancels many jobs at an entry that nobody has submitted. Returns how many
/// were withdrawn.
int cancel_unknown_jobs(virtual_fleet& fleet, int first, int count,
                        const std::string& key) {
    auto answers = std::make_shared<std::vector<answer_kind>>();
    for (int n = first; n < first + count; ++n)
        fleet::cancel(fleet.entry(1).api(),
                      {"host", "/normal/" + job_id(n), key,
                       fleet.sim.now + duration{3000}},
                      job_id(n), [answers](const fleet::answer& a) {
                          answers->push_back(a.kind);
                      });
    fleet.sim.run_for(duration{3200});
    EXPECT_EQ(std::ssize(*answers), count);
    EXPECT_EQ(std::ranges::count(*answers, answer_kind::unknown_job) +
                  std::ranges::count(*answers, answer_kind::unavailable),
              count);
    return static_cast<int>(
        std::ranges::count(*answers, answer_kind::unknown_job));
}

int count_withdrawals(const virtual_fleet& fleet, int first, int count) {
    int found = 0;
    for (int n = first; n < first + count; ++n)
        found += fleet.store.get(cancellation_key(n)) ? 1 : 0;
    return found;
}

} // namespace

TEST(cancellations_of_unknown_jobs, are_limited_for_an_organisation) {
    virtual_fleet fleet;
    const int withdrawn = cancel_unknown_jobs(fleet, 1000, 500, "cwm-key");
    EXPECT_EQ(withdrawn, fleet::organisation_withdrawal_rate.burst);
    EXPECT_EQ(count_withdrawals(fleet, 1000, 500), withdrawn);
    // Others go on to withdraw, and to submit.
    EXPECT_EQ(cancel_unknown_jobs(fleet, 2000, 20, "kwela-key"), 20);
    EXPECT_EQ(fleet.submit(make_job(job_id(1), "ms=500", 1, small)).kind,
              answer_kind::accepted);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
}

TEST(cancellations_of_unknown_jobs, leave_nothing_behind_in_the_end) {
    virtual_fleet fleet;
    cancel_unknown_jobs(fleet, 1000, 500, "cwm-key");
    const auto indexed = [&] { return fleet.entry(2).jobs().jobs.size(); };
    EXPECT_EQ(indexed(), fleet::organisation_withdrawal_rate.burst);
    fleet.sim.run_for(withdrawal_time);
    EXPECT_EQ(count_withdrawals(fleet, 1000, 500), 0);
    EXPECT_EQ(indexed(), 0U);
}

TEST(withdrawal, lasts_until_no_write_of_its_submission_can_be_on_its_way) {
    virtual_fleet fleet;
    fleet.cancel(job_id(1), 2);
    // The last one under the same lease.
    fleet.sim.run_for(fleet::withdrawal_lease_ttl - fleet::min_withdrawal_time -
                      duration{200});
    fleet.cancel(job_id(2), 2);
    fleet.sim.run_for(fleet::min_withdrawal_time - duration{100});
    EXPECT_TRUE(fleet.store.get(cancellation_key(2)));
    fleet.sim.run_for(duration{1000});
    EXPECT_FALSE(fleet.store.get(cancellation_key(2)));
}

TEST(withdrawal, is_read_from_its_value) {
    for (const auto& mark : std::vector<fleet::withdrawal>{
             {{"kwela"}}, {{""}}, {{"", "cwm-sump", "kwela"}}}) {
        EXPECT_TRUE(fleet::is_withdrawal(to_value(mark)));
        EXPECT_EQ(fleet::parse_withdrawal(to_value(mark)), mark);
    }
    EXPECT_FALSE(fleet::is_withdrawal("cancelled"));
    EXPECT_EQ(fleet::parse_withdrawal("cancelled"), fleet::withdrawal{});
}

TEST(withdrawal_rate, lets_an_organisation_go_on_after_a_while) {
    fleet::withdrawals state;
    const auto take = [&](const std::string& organisation, int ms) {
        int taken = 0;
        while (taken < 1000 && take_withdrawal(state, organisation, at(ms)))
            ++taken;
        return taken;
    };
    EXPECT_EQ(take("cwm-sump", 0), 100);
    EXPECT_EQ(take("cwm-sump", 1000), 10);
    EXPECT_EQ(take("kwela", 1000), 100);
    EXPECT_EQ(take("a third", 1000), 10) << "the entry's own limit";
    EXPECT_EQ(take("cwm-sump", 60'000), 100);
}

} // namespace celerylift::test
