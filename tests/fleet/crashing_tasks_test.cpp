// Tasks that crash the servers that start them, disruptions that resemble such
// a crash, and servers whose capacity changes while they run tasks.
#include "virtual_fleet.hpp"

#include <celerylift/fleet/names.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <functional>

namespace celerylift::test {

namespace {

constexpr fleet::resources small{8'000, 16'000, 1};
constexpr fleet::resources whole_server{128'000, 262'144, 8};
constexpr fleet::resources half_server{64'000, 131'072, 4};
constexpr int entry_count = 3;
constexpr int server_count = 6;
/// Three crashes, and fewer than three starts after them.
constexpr int max_starts = 5;
constexpr int crashes_before_giving_up = 2;
constexpr duration time_limit{60'000};
constexpr duration outage{3000}; // Of a server that has crashed.

std::string job_id(int n) {
    return fmt::format("{:016x}", n);
}

/// The first task of a job.
std::string task_of(const std::string& job) {
    return fleet::to_string({job, 0, 0, 0});
}

void expect_no_violations(const virtual_fleet& fleet) {
    for (const auto& violation : fleet.history.violations)
        ADD_FAILURE() << violation;
    if (::testing::Test::HasFailure() && std::getenv("FLEET_LOG"))
        for (const auto& line : fleet.sim.log)
            fmt::print("{}\n", line);
}

bool shows_failed(virtual_fleet& fleet, const std::string& job) {
    for (int n = 1; n <= entry_count; ++n)
        if (fleet.has_entry(n) &&
            fleet::shown_state(fleet.entry(n).jobs(), job) == fleet::JOB_FAILED)
            return true;
    return false;
}

/// Runs until a condition holds, and fails the test if a job is shown as failed
/// before that.
bool run_without_failed_jobs(virtual_fleet& fleet,
                             const std::vector<std::string>& jobs,
                             const std::function<bool()>& condition,
                             duration limit) {
    std::string failed;
    const auto is_over = [&] {
        for (const auto& job : jobs)
            if (shows_failed(fleet, job))
                failed = job;
        return !failed.empty() || condition();
    };
    fleet.sim.run_until(is_over, limit);
    EXPECT_EQ(failed, "") << "is shown as failed";
    return failed.empty() && condition();
}

bool are_completed(const virtual_fleet& fleet,
                   const std::vector<std::string>& jobs) {
    return std::ranges::all_of(jobs, [&](const auto& job) {
        return fleet.state_at_any_entry(job) == fleet::JOB_COMPLETED;
    });
}

int crashes_under(const virtual_fleet& fleet, const std::string& job) {
    int crashes = 0;
    for (const auto& [task, count] : fleet.history.crashes_by_task)
        crashes += task.starts_with(job) ? count : 0;
    return crashes;
}

/// Checks that a crashing job fails, that it was not given up too early, and
/// that its tasks were not started too often.
void expect_given_up(virtual_fleet& fleet, const std::string& job) {
    EXPECT_TRUE(fleet.sim.run_until([&] { return shows_failed(fleet, job); },
                                    time_limit))
        << "is not shown as failed after " << crashes_under(fleet, job)
        << " crashes";
    EXPECT_GE(crashes_under(fleet, job), crashes_before_giving_up);
    fleet.sim.run_for(duration{10'000});
    EXPECT_EQ(fleet.state_at_any_entry(job), fleet::JOB_FAILED);
    for (const auto& [task, crashes] : fleet.history.crashes_by_task)
        EXPECT_LE(fleet.history.starts_by_task.at(task), max_starts) << task;
    expect_no_violations(fleet);
}

/// The server that runs a task, or 0.
int server_of(const virtual_fleet& fleet, const std::string& task) {
    const auto it = fleet.history.running.find(task);
    return it == fleet.history.running.end()
               ? 0
               : std::stoi(it->second.substr(it->second.rfind('-') + 1));
}

int server_that_is_down(virtual_fleet& fleet) {
    for (int n = 1; n <= server_count; ++n)
        if (!fleet.server(n).is_up())
            return n;
    return 0;
}

} // namespace

// ---- Tasks that crash their servers ----

class task_that_crashes_its_servers : public ::testing::TestWithParam<int> {
protected:
    std::string payload() const { return fmt::format("crash={}", GetParam()); }

    void expect_failure(const fleet::Submission& job) {
        virtual_fleet fleet;
        fleet.submit(job);
        expect_given_up(fleet, job.id());
    }
};

TEST_P(task_that_crashes_its_servers, fails_its_job_instead_of_the_fleet) {
    expect_failure(make_job(job_id(1), payload(), 1, small));
}

TEST_P(task_that_crashes_its_servers, fails_its_gang) {
    expect_failure(make_gang(job_id(1), payload(), 4, small));
}

TEST_P(task_that_crashes_its_servers, fails_a_gang_on_several_servers) {
    expect_failure(make_gang(job_id(1), payload(), 3, whole_server));
}

TEST_P(task_that_crashes_its_servers, fails_a_job_of_many_such_tasks) {
    expect_failure(make_job(job_id(1), payload(), 8, small));
}

TEST_P(task_that_crashes_its_servers, fails_a_job_with_one_such_task) {
    expect_failure(make_job(job_id(1), payload() + " index=2", 6, small));
}

INSTANTIATE_TEST_SUITE_P(after, task_that_crashes_its_servers,
                         ::testing::Values(20, 300, 2500));

namespace {

std::size_t running_count(virtual_fleet& fleet) {
    std::size_t count = 0;
    for (int n = 1; n <= server_count; ++n)
        count += fleet.server(n).running_count();
    return count;
}

fleet::Submission make_lasting(int n, int count, int anti_affinity = 0) {
    auto job = make_job(job_id(n), "ms=9000000", count, small);
    job.mutable_steps(0)->set_lasting(true);
    job.mutable_steps(0)->set_anti_affinity(anti_affinity);
    return job;
}

} // namespace

// Lost tasks avoided the server that had crashed, and waited for ever where no
// other had room for them.
class lasting_work : public ::testing::TestWithParam<fleet::Submission> {};

TEST_P(lasting_work, is_whole_again_after_a_crash) {
    virtual_fleet fleet;
    const auto count = static_cast<std::size_t>(GetParam().steps(0).count());
    fleet.submit(GetParam());
    fleet.sim.run_for(duration{2000});
    ASSERT_EQ(running_count(fleet), count);
    fleet.server(2).crash_for(outage);
    fleet.sim.run_for(duration{9000});
    EXPECT_EQ(running_count(fleet), count);
    expect_no_violations(fleet);
}

INSTANTIATE_TEST_SUITE_P(on, lasting_work,
                         ::testing::Values(make_lasting(1, 48),
                                           make_lasting(1, 6, 1)),
                         [](const auto& info) {
                             return std::string(info.index == 0
                                                    ? "a_full_fleet"
                                                    : "a_server_for_each_task");
                         });

// A reported crash lost a run whose start was not confirmed. The start took
// effect on the next incarnation, beside the run that followed.
TEST(start_without_an_answer, is_fenced_after_a_crash_of_its_server) {
    virtual_fleet fleet;
    for (int n = 1; n <= server_count; ++n) {
        fleet.server(n).fault = call_fault::delayed;
        fleet.server(n).next_incarnation_takes_calls = true;
    }
    fleet.submit_async(make_job(job_id(1), "ms=9000", 1, small), 1, "kwela-key",
                       "/normal/");
    int server = 0;
    ASSERT_TRUE(fleet.sim.run_until(
        [&] {
            for (int n = 1; n <= server_count; ++n)
                for (const auto& [key, order] : fleet.agent(n).orders)
                    server = order.may_have_begun ? n : server;
            return server != 0;
        },
        duration{2000}));
    fleet.server(server).crash_for(duration{400});
    for (int n = 1; n <= server_count; ++n)
        fleet.server(n).fault = call_fault::none;
    fleet.sim.run_for(duration{8000});
    expect_no_violations(fleet);
}

// ---- Innocent jobs on the same servers ----

/// The times after which tasks crash their servers, and the jobs beside them.
struct innocent_case {
    std::vector<int> crash_times;
    int jobs;
    std::string payload;

    friend void PrintTo(const innocent_case& c, std::ostream* out) {
        *out << c.jobs << " jobs " << c.payload
             << " crash=" << fmt::format("{}", fmt::join(c.crash_times, "/"));
    }
};

std::vector<innocent_case> innocent_cases() {
    std::vector<innocent_case> cases;
    for (const auto& times :
         {std::vector{20}, std::vector{300}, std::vector{2500},
          std::vector{300, 300, 300}, std::vector{20, 300, 2500}}) {
        cases.push_back({times, 12, "ms=2500"});
        // Still running when the tasks beside them are started again.
        cases.push_back({times, 5, "ms=12000"});
    }
    return cases;
}

class jobs_beside_crashing_tasks
    : public ::testing::TestWithParam<innocent_case> {};

TEST_P(jobs_beside_crashing_tasks, complete_and_are_never_shown_as_failed) {
    // Each server that crashes takes a third of the running tasks with it.
    virtual_fleet fleet{{entry_count, 3, 3}};
    std::vector<std::string> innocent;
    for (int n = 1; n <= GetParam().jobs; ++n) {
        const auto make = n % 3 == 0 ? make_gang : make_job;
        const auto job = make(job_id(n), GetParam().payload, 4, small);
        fleet.submit_async(job, 1, "kwela-key", "/normal/");
        innocent.push_back(job.id());
    }
    fleet.sim.run_for(duration{1000});
    std::vector<std::string> crashing;
    for (const int time : GetParam().crash_times) {
        const int n = 100 + static_cast<int>(crashing.size());
        const auto payload = fmt::format("crash={}", time);
        fleet.submit_async(make_job(job_id(n), payload, 1, small), 2,
                           "kwela-key", "/urgent/");
        crashing.push_back(job_id(n));
    }
    EXPECT_TRUE(run_without_failed_jobs(
        fleet, innocent, [&] { return are_completed(fleet, innocent); },
        time_limit))
        << "an innocent job did not complete in time";
    int lost = 0;
    for (const auto& [task, starts] : fleet.history.starts_by_task)
        lost += fleet.history.crashes_by_task.contains(task) ? 0 : starts - 1;
    EXPECT_GT(lost, 0) << "no innocent task was started again";
    for (const auto& job : crashing)
        EXPECT_TRUE(fleet.wait_for_state(job, fleet::JOB_FAILED)) << job;
    EXPECT_TRUE(are_completed(fleet, innocent));
    expect_no_violations(fleet);
}

INSTANTIATE_TEST_SUITE_P(in, jobs_beside_crashing_tasks,
                         ::testing::ValuesIn(innocent_cases()));

// ---- Disruptions that resemble a crash by a task ----

namespace {

void lose_host(virtual_fleet& fleet, int number, duration time) {
    fleet.server(number).crash();
    fleet.kill_agent(number);
    fleet.sim.after(time, [&fleet, number] {
        fleet.server(number).restart();
        fleet.start_agent(number);
    });
}

void lose_agent(virtual_fleet& fleet, int number, duration time) {
    fleet.kill_agent(number);
    fleet.sim.after(time, [&fleet, number] { fleet.start_agent(number); });
}

void take_server_away(virtual_fleet& fleet, int number, duration time) {
    auto& server = fleet.server(number);
    server.draining = true;
    server.remaining = duration{1000};
    fleet.sim.after(duration{1500}, [&fleet, &server, number] {
        fleet::on_departure(fleet.agent(number), server.id());
        server.leave();
    });
    fleet.sim.after(duration{1500} + time, [&server] {
        server.draining = false;
        server.remaining = duration{0};
        server.restart();
    });
}

/// Whether a task runs on a server without a disruption.
bool runs_undisturbed(virtual_fleet& fleet, const std::string& task) {
    const int server = server_of(fleet, task);
    return server != 0 && fleet.has_agent(server) &&
           !fleet.server(server).draining;
}

using disruption = void (*)(virtual_fleet&, int, duration);

struct resembling_case {
    std::string name;
    disruption disrupt;
    int time_ms;

    friend void PrintTo(const resembling_case& c, std::ostream* out) {
        *out << c.name;
    }
};

} // namespace

class task_under_disruptions
    : public ::testing::TestWithParam<resembling_case> {};

TEST_P(task_under_disruptions, is_not_taken_for_the_cause) {
    virtual_fleet fleet;
    const auto job = job_id(1);
    fleet.submit(make_job(job, "ms=12000", 1, small));
    for (int round = 0; round < 5; ++round) {
        ASSERT_TRUE(run_without_failed_jobs(
            fleet, {job}, [&] { return runs_undisturbed(fleet, task_of(job)); },
            time_limit));
        fleet.sim.run_for(duration{1000});
        const int server = server_of(fleet, task_of(job));
        ASSERT_NE(server, 0);
        GetParam().disrupt(fleet, server, duration{GetParam().time_ms});
    }
    EXPECT_TRUE(run_without_failed_jobs(
        fleet, {job}, [&] { return are_completed(fleet, {job}); }, time_limit));
    expect_no_violations(fleet);
}

INSTANTIATE_TEST_SUITE_P(
    of, task_under_disruptions,
    ::testing::Values(
        resembling_case{"host_for_1_s", lose_host, 1000},
        resembling_case{"host_for_3_s", lose_host, 3000},
        resembling_case{"host_for_9_s", lose_host, 9000},
        resembling_case{"agent_for_300_ms", lose_agent, 300},
        resembling_case{"agent_for_7_s", lose_agent, 7000},
        resembling_case{"server_for_100_ms", take_server_away, 100},
        resembling_case{"server_for_3_s", take_server_away, 3000}),
    [](const auto& info) { return info.param.name; });

// Any long job meets a few crashes that have nothing to do with it.
TEST(long_task, survives_crashes_of_its_server_that_are_far_apart) {
    virtual_fleet fleet;
    const auto job = make_job(job_id(1), "ms=300000", 1, small);
    fleet.submit(job);
    for (int crash = 0; crash < 3; ++crash) {
        ASSERT_TRUE(run_without_failed_jobs(
            fleet, {job.id()},
            [&] { return server_of(fleet, task_of(job.id())) != 0; },
            time_limit));
        fleet.sim.run_for(duration{70'000});
        const int server = server_of(fleet, task_of(job.id()));
        ASSERT_NE(server, 0);
        fleet.server(server).crash_for(outage);
        fleet.sim.run_for(duration{5});
    }
    EXPECT_TRUE(run_without_failed_jobs(
        fleet, {job.id()}, [&] { return are_completed(fleet, {job.id()}); },
        duration{400'000}));
    expect_no_violations(fleet);
}

// ---- Crashes that are counted across other failures ----

namespace {

struct counting_case {
    std::string name;
    /// Begins 100 ms after the agent detects a crash, rather than with it.
    bool begins_after_detection;
    std::function<void(virtual_fleet&, int server)> begin;
    std::function<void(virtual_fleet&, int server)> end;

    friend void PrintTo(const counting_case& c, std::ostream* out) {
        *out << c.name;
    }
};

void set_links(virtual_fleet& fleet, int agent, bool up) {
    for (int entry = 1; entry <= entry_count; ++entry)
        fleet.set_link(entry, agent, up);
}

std::function<void(virtual_fleet&, int)> set_store_fault(store_fault fault) {
    return [fault](virtual_fleet& fleet, int) { fleet.store.fault = fault; };
}

void start_missing_entries(virtual_fleet& fleet, int) {
    for (int n = 1; n <= entry_count; ++n)
        if (!fleet.has_entry(n))
            fleet.start_entry(n);
}

std::vector<counting_case> counting_cases() {
    const auto end_store_fault = set_store_fault(store_fault::none);
    return {
        {"owner_killed", true,
         [](virtual_fleet& fleet, int) {
             fleet.kill_entry(fleet.owner_entry());
         },
         start_missing_entries},
        {"store_down", false, set_store_fault(store_fault::unresponsive),
         end_store_fault},
        {"store_replies_lost", false,
         set_store_fault(store_fault::lost_replies), end_store_fault},
        {"agent_cut_off", false,
         [](virtual_fleet& fleet, int server) {
             set_links(fleet, server, false);
         },
         [](virtual_fleet& fleet, int server) {
             set_links(fleet, server, true);
         }},
    };
}

/// Waits until the agent of a crashed server knows of the crash.
bool wait_for_detection(virtual_fleet& fleet, int server,
                        const std::string& incarnation) {
    return fleet.sim.run_until(
        [&] {
            const auto& agent = fleet.agent(server);
            return agent.departed || agent.incarnation != incarnation;
        },
        duration{15'000});
}

} // namespace

class count_of_crashes : public ::testing::TestWithParam<counting_case> {};

TEST_P(count_of_crashes, survives_another_failure_at_each_crash) {
    virtual_fleet fleet;
    const auto job = job_id(1);
    fleet.submit(make_job(job, "crash=300", 1, small));
    for (int round = 0; round <= max_starts; ++round) {
        int server = 0;
        fleet.sim.run_until(
            [&] {
                server = server_that_is_down(fleet);
                return server != 0 || shows_failed(fleet, job);
            },
            time_limit);
        if (server == 0)
            break;
        const auto incarnation = fleet.agent(server).incarnation;
        if (!GetParam().begins_after_detection)
            GetParam().begin(fleet, server);
        ASSERT_TRUE(wait_for_detection(fleet, server, incarnation));
        fleet.sim.run_for(duration{100});
        if (GetParam().begins_after_detection)
            GetParam().begin(fleet, server);
        fleet.sim.run_for(duration{900});
        GetParam().end(fleet, server);
    }
    expect_given_up(fleet, job);
}

INSTANTIATE_TEST_SUITE_P(while_the, count_of_crashes,
                         ::testing::ValuesIn(counting_cases()),
                         [](const auto& info) { return info.param.name; });

// ---- Servers whose capacity changes ----

namespace {

void set_stop_time(virtual_fleet& fleet, duration time) {
    for (int n = 1; n <= server_count; ++n)
        fleet.server(n).stop_time = time;
}

/// Submits jobs for a time, and cancels every fourth of them 700 ms later.
void submit_and_cancel(virtual_fleet& fleet, int& last, duration time) {
    const auto end = fleet.sim.now + time;
    for (; fleet.sim.now < end; fleet.sim.run_for(duration{100})) {
        fleet.submit_async(make_job(job_id(++last), "ms=3000", 2, small), 1,
                           "kwela-key", "/normal/");
        if (last % 4 == 0 && last > 8)
            fleet.cancel(job_id(last - 7));
    }
}

} // namespace

TEST(server_that_shrinks, starts_nothing_until_the_rest_fits) {
    virtual_fleet fleet;
    set_stop_time(fleet, duration{500});
    int last = 0;
    for (int round = 0; round < 4; ++round) {
        submit_and_cancel(fleet, last, duration{4000});
        for (int n = 1; n <= 3; ++n)
            fleet.server(n).set_capacity(half_server);
        submit_and_cancel(fleet, last, duration{8000});
        for (int n = 1; n <= 3; ++n)
            EXPECT_LE(fleet.server(n).running_count(), 4U);
        for (int n = 1; n <= 3; ++n)
            fleet.server(n).set_capacity(whole_server);
    }
    expect_no_violations(fleet);
}

TEST(server_that_shrinks, is_filled_again_once_it_has_grown) {
    virtual_fleet fleet;
    for (int n = 1; n <= server_count; ++n)
        fleet.server(n).set_capacity(half_server);
    fleet.sim.run_for(duration{1000});
    fleet.submit(make_job(job_id(1), "ms=20000", 48, small));
    fleet.sim.run_for(duration{5000});
    EXPECT_EQ(fleet.history.starts, 24);
    fleet.server(2).set_capacity(whole_server);
    EXPECT_TRUE(fleet.sim.run_until(
        [&] { return fleet.server(2).running_count() == 8; }, duration{3000}));
    expect_no_violations(fleet);
}

TEST(server_that_shrinks, is_not_filled_by_an_agent_that_restarts) {
    virtual_fleet fleet;
    fleet.submit(make_job(job_id(1), "ms=9000", 48, small));
    fleet.submit(make_job(job_id(2), "ms=300", 48, small));
    for (int n = 1; n <= server_count; ++n)
        fleet.server(n).set_capacity(half_server);
    fleet.sim.run_for(duration{5000});
    for (int n = 1; n <= server_count; ++n)
        lose_agent(fleet, n, duration{200 * n});
    EXPECT_TRUE(fleet.wait_for_state(job_id(2), fleet::JOB_COMPLETED));
    expect_no_violations(fleet);
}

// A run that was ordered to stop holds its resources until its end is listed.
TEST(run_that_is_being_stopped, still_counts) {
    virtual_fleet fleet;
    set_stop_time(fleet, duration{500});
    fleet.submit(make_job(job_id(1), "ms=60000", 6, whole_server));
    fleet.submit(make_job(job_id(2), "ms=300", 6, whole_server));
    fleet.sim.run_for(duration{2000});
    ASSERT_EQ(fleet.history.starts, 6);
    fleet.cancel(job_id(1));
    EXPECT_TRUE(fleet.wait_for_state(job_id(2), fleet::JOB_COMPLETED));
    expect_no_violations(fleet);
}

} // namespace celerylift::test
