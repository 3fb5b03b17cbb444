// What placement prefers for a unit ends by time, because the event that would
// end it may never come: on a service under half in use, work whose turn has
// come has something running within three seconds.
#include "virtual_fleet.hpp"

#include <celerylift/fleet/placement.hpp>

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <random>

namespace celerylift::test {

namespace {

constexpr fleet::resources small{8'000, 16'000, 1};
constexpr fleet::resources whole_server{128'000, 262'144, 8};
constexpr duration start_limit{3000};
constexpr int server_count = 6;

std::string job_id(int n) {
    return fmt::format("{:016x}", n);
}

void submit(virtual_fleet& fleet, const fleet::Submission& job) {
    fleet.submit_async(job, 1, "kwela-key", "/normal/");
}

/// Submits a job that only servers of the kind "special" can run.
void submit_special(virtual_fleet& fleet, fleet::Submission job,
                    const std::string& path = "/normal/") {
    job.mutable_steps(0)->set_required_label("special");
    fleet.submit_async(job, 1, "kwela-key", path);
}

/// Whether a task of a job is running.
bool is_running(const virtual_fleet& fleet, int job) {
    return std::ranges::any_of(fleet.history.running, [&](const auto& running) {
        return running.first.starts_with(job_id(job));
    });
}

/// The server on which the first running task of a job runs.
virtual_server& server_of(virtual_fleet& fleet, int job) {
    const auto& id =
        fleet.history.running.lower_bound(job_id(job) + ".")->second;
    return fleet.server(std::stoi(id.substr(id.rfind('-') + 1)));
}

/// Ends all runs as failed on the servers where a job runs.
void fail_job(virtual_fleet& fleet, int job) {
    while (is_running(fleet, job))
        server_of(fleet, job).fail_runs();
}

/// Whether a task of the job runs within a time.
bool runs_within(virtual_fleet& fleet, int job, duration limit) {
    return fleet.sim.run_until([&] { return is_running(fleet, job); }, limit);
}

/// Puts all servers on probation by jobs that fail at once wherever they run,
/// and waits until no server is excluded any more.
void put_all_servers_on_probation(virtual_fleet& fleet) {
    for (int n = 1; n <= server_count; ++n)
        fleet.server(n).fails_all_runs = true;
    for (int n = 0x101; n <= 0x100 + server_count / 2; ++n) {
        submit(fleet, make_job(job_id(n), "ms=400", 1, small));
        fleet.sim.run_for(duration{500});
    }
    fleet.sim.run_for(duration{5000});
    ASSERT_EQ(fleet.history.failures, server_count);
    for (int n = 1; n <= server_count; ++n)
        fleet.server(n).fails_all_runs = false;
}

} // namespace

// ---- Servers on probation ----

// Only a run that succeeds ends the probation of a server, and gangs were never
// placed on one. After three hopeless jobs no gang was started any more.
TEST(servers_on_probation, run_a_gang_where_all_servers_are_on_probation) {
    virtual_fleet fleet;
    put_all_servers_on_probation(fleet);
    submit(fleet, make_gang(job_id(1), "ms=400", 2, small));
    EXPECT_TRUE(runs_within(fleet, 1, start_limit));
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
    EXPECT_TRUE(fleet.history.violations.empty());
}

// A task that failed at once on the only server of its kind was kept off it,
// since tasks that have failed do not probe servers.
TEST(servers_on_probation, run_a_task_that_has_failed_there) {
    for (const bool lasting : {false, true}) {
        SCOPED_TRACE(lasting ? "lasting" : "with an end");
        virtual_fleet fleet;
        fleet.server(server_count).kind = "special";
        fleet.sim.run_for(duration{1000});
        auto job = make_job(job_id(1), "ms=5000", 1, small);
        job.mutable_steps(0)->set_required_label("special");
        job.mutable_steps(0)->set_lasting(lasting);
        submit(fleet, job);
        ASSERT_TRUE(runs_within(fleet, 1, duration{500}));
        fleet.server(server_count).fail_runs();
        EXPECT_TRUE(runs_within(fleet, 1, start_limit));
    }
}

// Tasks of a queue with a single attempt do not probe servers.
TEST(servers_on_probation, run_a_task_that_has_a_single_attempt) {
    virtual_fleet fleet;
    auto config = virtual_fleet::default_config(2);
    config.queues.back().max_attempts = 1;
    fleet.configure(config);
    fleet.server(server_count).kind = "special";
    fleet.sim.run_for(duration{1000});
    auto job = make_job(job_id(1), "ms=5000", 1, small);
    job.mutable_steps(0)->set_required_label("special");
    submit(fleet, job);
    ASSERT_TRUE(runs_within(fleet, 1, duration{500}));
    fleet.server(server_count).fail_runs();
    ASSERT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_FAILED));
    fleet.sim.run_for(duration{2500});
    job.set_id(job_id(2));
    submit(fleet, job);
    EXPECT_TRUE(runs_within(fleet, 2, start_limit));
}

// A server on probation got one task of a gang, so that a gang with more
// members than there are servers was never started.
TEST(servers_on_probation, run_a_gang_with_several_members_on_each) {
    for (const bool same_rack : {false, true}) {
        SCOPED_TRACE(same_rack ? "on one rack" : "on any rack");
        virtual_fleet fleet;
        put_all_servers_on_probation(fleet);
        auto gang = make_gang(job_id(1), "ms=400", 2 * server_count, small);
        gang.mutable_steps(0)->set_same_rack(same_rack);
        submit(fleet, gang);
        EXPECT_TRUE(runs_within(fleet, 1, start_limit));
        EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
    }
}

// The only servers left fail all that they start: the gang spends an attempt
// there and is started again within the same time.
TEST(servers_on_probation, run_a_gang_again_after_it_has_failed_there) {
    virtual_fleet fleet;
    put_all_servers_on_probation(fleet);
    for (int n = 1; n <= server_count; ++n)
        fleet.server(n).fails_all_runs = true;
    const int failures = fleet.history.failures;
    submit(fleet, make_gang(job_id(1), "ms=400", 2, small));
    ASSERT_TRUE(runs_within(fleet, 1, start_limit));
    fleet.sim.run_until([&] { return fleet.history.failures > failures; },
                        duration{1000});
    for (int n = 1; n <= server_count; ++n)
        fleet.server(n).fails_all_runs = false;
    fleet.sim.run_for(duration{200});
    EXPECT_TRUE(runs_within(fleet, 1, start_limit));
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
}

// A server on which all runs fail is always free. On a full service gangs that
// had waited spent their attempts there, though others were about to end.
TEST(servers_on_probation, run_no_gang_that_others_will_have_room_for) {
    virtual_fleet fleet;
    for (const int n : {1, 2})
        fleet.server(n).fails_all_runs = true;
    fleet.submit(make_job(job_id(0x100), "ms=300", 48, small));
    ASSERT_TRUE(fleet.wait_for_state(job_id(0x100), fleet::JOB_COMPLETED));
    for (int n = 1; n <= 4; ++n)
        submit(fleet, make_job(job_id(n), "ms=9000", 1, whole_server));
    fleet.sim.run_until([&] { return fleet.history.running.size() == 4; },
                        duration{5000});
    const int failures = fleet.history.failures;
    auto gang = make_gang(job_id(5), "ms=300", 2, whole_server);
    gang.mutable_steps(0)->set_same_rack(false);
    submit(fleet, gang);
    EXPECT_TRUE(fleet.wait_for_state(job_id(5), fleet::JOB_COMPLETED));
    EXPECT_EQ(fleet.history.failures, failures);
}

// On a service under half in use it does not wait for them: all free servers
// are on probation, and the others have no room for ten seconds.
TEST(servers_on_probation, run_a_gang_where_others_will_have_room_late) {
    virtual_fleet fleet({3, 8, 4});
    for (int n = 1; n <= 5; ++n)
        fleet.server(n).kind = "special";
    fleet.sim.run_for(duration{1000});
    for (int n = 1; n <= 5; ++n)
        fleet.server(n).fails_all_runs = true;
    submit_special(fleet, make_job(job_id(0x100), "ms=400", 5, whole_server));
    ASSERT_TRUE(fleet.wait_for_state(job_id(0x100), fleet::JOB_FAILED));
    for (int n = 1; n <= 5; ++n)
        fleet.server(n).fails_all_runs = false;
    fleet.sim.run_for(duration{15'000});
    for (int n = 0x201; n <= 0x203; ++n) {
        auto job = make_job(job_id(n), "ms=10000", 1, whole_server);
        job.mutable_steps(0)->set_required_label("a");
        submit(fleet, job);
        ASSERT_TRUE(runs_within(fleet, n, start_limit));
    }
    submit(fleet, make_gang(job_id(1), "ms=400", 2, small));
    EXPECT_TRUE(runs_within(fleet, 1, start_limit));
}

// A gang that has waited may use servers on probation, but does so only where
// the others do not suffice.
TEST(servers_on_probation, run_members_that_do_not_fit_on_proven_servers) {
    std::vector<std::string> labels;
    std::vector<fleet::candidate_server> candidates(3);
    for (auto& candidate : candidates) {
        candidate.service = "order-desk";
        candidate.labels = &labels;
        candidate.capacity = candidate.free = whole_server;
    }
    candidates[0].on_probation = candidates[1].on_probation = true;
    fleet::placement_request request;
    request.service = "order-desk";
    request.each = whole_server;
    request.may_probe = request.prefer_proven = true;
    for (const int count : {1, 2}) {
        request.count = count;
        auto free = candidates;
        const auto chosen = place(free, request);
        ASSERT_EQ(std::ssize(chosen), count);
        EXPECT_EQ(chosen.front(), 2U);
    }
}

// ---- Servers to avoid ----

// A task kept off the server on which it had failed as long as its request
// would fit elsewhere on an idle fleet. Where work that lasts held the others
// of its kind it never ran again, and its reservation kept later work off that
// server.
TEST(server_to_avoid, runs_its_task_again_where_lasting_work_holds_the_others) {
    for (const bool urgent : {false, true}) {
        SCOPED_TRACE(urgent ? "urgent" : "batch");
        virtual_fleet fleet({3, 8, 4});
        for (const int n : {7, 8})
            fleet.server(n).kind = "special";
        fleet.sim.run_for(duration{1000});
        auto lasting = make_job(job_id(1), "ms=600000", 1, whole_server);
        lasting.mutable_steps(0)->set_lasting(true);
        submit_special(fleet, lasting);
        ASSERT_TRUE(runs_within(fleet, 1, start_limit));
        submit_special(fleet, make_job(job_id(2), "ms=1000", 1, whole_server),
                       urgent ? "/urgent/" : "/normal/");
        ASSERT_TRUE(runs_within(fleet, 2, start_limit));
        fleet.sim.run_for(duration{500});
        server_of(fleet, 2).fail_runs();
        fleet.sim.run_for(duration{1000});
        submit_special(fleet, make_job(job_id(3), "ms=4000", 1, small));
        // Batch work does not preempt the later task, but runs after it.
        const duration room_in{urgent ? 0 : 4000};
        EXPECT_TRUE(runs_within(fleet, 2, start_limit + room_in));
        EXPECT_TRUE(fleet.wait_for_state(job_id(2), fleet::JOB_COMPLETED));
        EXPECT_TRUE(!urgent || runs_within(fleet, 3, start_limit));
        EXPECT_TRUE(fleet.wait_for_state(job_id(3), fleet::JOB_COMPLETED));
    }
}

// The gang fits without the server to avoid, but the others are taken.
TEST(server_to_avoid, runs_its_gang_again_where_lasting_work_holds_the_others) {
    virtual_fleet fleet({3, 8, 4});
    for (const int n : {6, 7, 8})
        fleet.server(n).kind = "special";
    fleet.sim.run_for(duration{1000});
    auto lasting = make_job(job_id(1), "ms=600000", 1, whole_server);
    lasting.mutable_steps(0)->set_lasting(true);
    submit_special(fleet, lasting);
    ASSERT_TRUE(runs_within(fleet, 1, start_limit));
    submit_special(fleet, make_gang(job_id(2), "ms=1000", 2, whole_server));
    ASSERT_TRUE(runs_within(fleet, 2, start_limit));
    fleet.sim.run_for(duration{500});
    server_of(fleet, 2).fail_runs();
    fleet.sim.run_for(duration{500});
    EXPECT_TRUE(runs_within(fleet, 2, start_limit));
    EXPECT_TRUE(fleet.wait_for_state(job_id(2), fleet::JOB_COMPLETED));
}

// While the others have room the task goes there, also once it has waited.
TEST(server_to_avoid, is_used_last) {
    std::vector<std::string> labels;
    std::vector<fleet::candidate_server> candidates(2);
    candidates[0].agent = "agent-1";
    candidates[1].agent = "agent-2";
    for (auto& candidate : candidates) {
        candidate.service = "order-desk";
        candidate.labels = &labels;
        candidate.capacity = candidate.free = whole_server;
    }
    candidates[0].free -= small;
    fleet::placement_request request;
    request.service = "order-desk";
    request.each = small;
    request.avoid = {"agent-1"};
    request.may_use_avoided = true;
    const auto chosen = place(candidates, request);
    ASSERT_EQ(chosen.size(), 1U);
    EXPECT_EQ(chosen.front(), 1U);
}

// ---- Excluded servers ----

// Jobs that fail wherever they run exclude their servers for up to 16 s. Once
// all servers of a service were excluded, nothing was started on it.
class hopeless_jobs : public ::testing::TestWithParam<int> {};

TEST_P(hopeless_jobs, hold_up_no_later_job) {
    std::mt19937 random(static_cast<unsigned>(GetParam()));
    const auto draw = [&](int least, int most) {
        return std::uniform_int_distribution<int>(least, most)(random);
    };
    virtual_fleet fleet;
    for (int n = draw(1, 30); n > 0; --n) {
        submit(fleet, make_job(job_id(0x100 + n), "fail", draw(1, 3), small));
        fleet.sim.run_for(duration{draw(0, 400)});
    }
    fleet.sim.run_for(duration{draw(0, 3000)});
    auto job = make_job(job_id(1), "ms=2000", draw(1, 6), small);
    job.mutable_steps(0)->set_gang(draw(0, 1) == 1);
    job.mutable_steps(0)->set_same_rack(draw(0, 1) == 1);
    job.mutable_steps(0)->set_lasting(draw(0, 3) == 0);
    submit(fleet, job);
    EXPECT_TRUE(runs_within(fleet, 1, start_limit));
}

INSTANTIATE_TEST_SUITE_P(seeds, hopeless_jobs, ::testing::Range(1, 41));

// Of a service of which half is out of service, the other half was taken for
// the whole. It seemed to be in use, and a gang waited twice as long.
TEST(service_partly_out_of_service, counts_as_idle_while_most_of_it_is_free) {
    virtual_fleet fleet({3, server_count, 3, 2});
    put_all_servers_on_probation(fleet);
    fleet.take_out_of_service(fleet.failure_domain_of(server_count));
    fleet.sim.run_for(duration{1000});
    submit(fleet, make_job(job_id(0x200), "ms=60000", 2, whole_server));
    fleet.sim.run_for(duration{4000});
    ASSERT_EQ(fleet.history.running.size(), 2U);
    submit(fleet, make_gang(job_id(1), "ms=400", 2, small));
    EXPECT_TRUE(runs_within(fleet, 1, start_limit));
}

// ---- Several preferences at once ----

// A job keeps off servers for several reasons at once: hopeless jobs have put
// them on probation or excluded them, lasting work holds some, its own runs
// have failed there, and it has one of few kinds or has to share a rack.
class mixed_preferences : public ::testing::TestWithParam<int> {};

TEST_P(mixed_preferences, hold_up_no_job) {
    std::mt19937 random(static_cast<unsigned>(GetParam()));
    const auto draw = [&](int least, int most) {
        return std::uniform_int_distribution<int>(least, most)(random);
    };
    virtual_fleet fleet({3, 8, 4});
    for (const int n : {7, 8})
        fleet.server(n).kind = "special";
    fleet.sim.run_for(duration{1000});
    if (draw(0, 1) == 1) {
        auto lasting = make_job(job_id(0x200), "ms=600000", 1, whole_server);
        lasting.mutable_steps(0)->set_lasting(true);
        submit_special(fleet, lasting);
        ASSERT_TRUE(runs_within(fleet, 0x200, start_limit));
    }
    for (int n = draw(0, 20); n > 0; --n) {
        auto hopeless = make_job(job_id(0x100 + n), "fail", draw(1, 2), small);
        hopeless.mutable_steps(0)->set_gang(draw(0, 3) == 0);
        if (draw(0, 1) == 1)
            hopeless.mutable_steps(0)->set_required_label("special");
        submit(fleet, hopeless);
        fleet.sim.run_for(duration{draw(0, 400)});
    }
    fleet.sim.run_for(duration{draw(0, 4000)});
    auto job = make_job(job_id(1), "ms=9000", draw(1, 4), small);
    auto* step = job.mutable_steps(0);
    step->set_gang(draw(0, 1) == 1);
    step->set_same_rack(step->gang() && draw(0, 1) == 1);
    step->set_lasting(draw(0, 3) == 0);
    step->set_estimate_ms(draw(0, 1) == 1 ? 9000 : 3'600'000);
    if (draw(0, 1) == 1)
        step->set_required_label("special");
    fleet.submit_async(job, 1, "kwela-key",
                       draw(0, 3) == 0 ? "/urgent/" : "/normal/");
    ASSERT_TRUE(runs_within(fleet, 1, start_limit));
    fleet.sim.run_for(duration{draw(100, 1500)});
    fail_job(fleet, 1);
    fleet.sim.run_for(duration{100});
    EXPECT_TRUE(runs_within(fleet, 1, start_limit));
}

INSTANTIATE_TEST_SUITE_P(seeds, mixed_preferences, ::testing::Range(1, 101));

// ---- A single rack ----

// In KNOWN-RED.txt: a gang that would fit on one rack if that were idle waits
// for it for up to 12 s, though it fits on several racks and the service is
// mostly idle.
TEST(single_rack, is_not_waited_for_while_the_service_is_mostly_idle) {
    virtual_fleet fleet({3, server_count, 2});
    const std::vector<std::string> kinds{"a", "b", "c"};
    for (int n = 1; n <= server_count; ++n)
        fleet.server(n).kind = kinds[static_cast<std::size_t>((n - 1) / 2)];
    fleet.sim.run_for(duration{1000});
    for (int rack = 0; rack < 3; ++rack) {
        auto lasting = make_job(job_id(0x200 + rack), "ms=600000", 6, small);
        lasting.mutable_steps(0)->set_required_label(
            kinds[static_cast<std::size_t>(rack)]);
        lasting.mutable_steps(0)->set_lasting(true);
        submit(fleet, lasting);
        ASSERT_TRUE(runs_within(fleet, 0x200 + rack, start_limit));
    }
    fleet.sim.run_for(duration{3000});
    ASSERT_EQ(fleet.history.running.size(), 18U);
    auto gang = make_gang(job_id(1), "ms=400", 12, small);
    gang.mutable_steps(0)->set_estimate_ms(9000);
    submit(fleet, gang);
    EXPECT_TRUE(runs_within(fleet, 1, start_limit));
}

// ---- Other preferences ----

// Gangs insisted on healthy servers for three seconds however idle the service.
TEST(degraded_servers, run_a_gang_where_all_servers_are_degraded) {
    virtual_fleet fleet;
    for (int n = 0; n < 2; ++n) {
        auto jobs =
            make_job(job_id(0x100 + n), "ms=5000", server_count, whole_server);
        submit(fleet, jobs);
        ASSERT_TRUE(runs_within(fleet, 0x100 + n, duration{500}));
        fleet.sim.run_for(duration{1000});
        for (int server = 1; server <= server_count; ++server)
            fleet.server(server).fail_runs();
        fleet.sim.run_for(duration{100});
        fleet.cancel(job_id(0x100 + n));
        fleet.sim.run_for(duration{200});
    }
    submit(fleet, make_gang(job_id(1), "ms=400", 2, small));
    EXPECT_TRUE(runs_within(fleet, 1, start_limit));
}

// Batch work kept off the emptiest rack for a share of its expected run time,
// though it fitted nowhere else.
TEST(rack_for_urgent_work, runs_batch_work_that_fits_only_there) {
    virtual_fleet fleet;
    for (int n = 4; n <= server_count; ++n)
        fleet.server(n).kind = "special";
    fleet.sim.run_for(duration{1000});
    auto other = make_job(job_id(0x100), "ms=60000", 3, small);
    other.mutable_steps(0)->set_required_label("a");
    submit(fleet, other);
    ASSERT_TRUE(runs_within(fleet, 0x100, start_limit));
    fleet.sim.run_for(duration{1000});
    auto job = make_job(job_id(1), "ms=5000", 1, small);
    job.mutable_steps(0)->set_required_label("special");
    job.mutable_steps(0)->set_estimate_ms(3'600'000);
    submit(fleet, job);
    EXPECT_TRUE(runs_within(fleet, 1, start_limit));
}

} // namespace celerylift::test
