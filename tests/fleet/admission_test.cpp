// Which jobs the cell accepts: what its entries can hold, and what its servers
// can still run in time.
#include "owner_fixture.hpp"
#include "virtual_fleet.hpp"

#include <celerylift/fleet/accepted_limits.hpp>
#include <celerylift/fleet/cell_load.hpp>
#include <celerylift/fleet/names.hpp>

#include <gtest/gtest.h>

#include <fmt/format.h>
#include <vector>

namespace celerylift::test {

namespace {

using fleet::accepted_bound;
using fleet::answer_kind;

constexpr fleet::resources small{8'000, 16'000, 1};

std::string job_id(int n) {
    return fmt::format("{:016x}", n);
}

/// A legal job that no server can run.
fleet::Submission waiting_job(int n, int tasks) {
    auto job = make_job(job_id(n), "ms=10", tasks, small);
    job.mutable_steps(0)->set_required_label("none");
    return job;
}

constexpr fleet::accepted_totals jobs_of(std::int64_t jobs,
                                         std::int64_t tasks) {
    return {jobs, tasks, jobs * 300};
}

} // namespace

// ---- What all jobs on record may take ----

TEST(accepted_limits, leave_room_for_ordinary_load_on_small_machines) {
    for (const int memory_mb : {128, 160, 260}) {
        const auto limits = fleet::derive_accepted_limits(memory_mb);
        const auto organisation = jobs_of(7'000, 15'000);
        EXPECT_FALSE(
            find_exceeded(limits, jobs_of(8'000, 25'000), {}, jobs_of(1, 1)));
        if (memory_mb >= 160) {
            EXPECT_FALSE(find_exceeded(limits, organisation, organisation,
                                       jobs_of(1, 500)));
        }
        EXPECT_FALSE(find_exceeded(limits, {}, {}, {1, 8'000, 262'144}))
            << "the largest job that is valid";
    }
}

TEST(accepted_limits, name_the_first_that_a_job_would_exceed) {
    const fleet::accepted_limits limits{{100, 80'000, 1'000'000}};
    const auto exceeded = [&](const fleet::accepted_totals& all,
                              const fleet::accepted_totals& organisation,
                              const fleet::accepted_totals& job) {
        return find_exceeded(limits, all, organisation, job);
    };
    EXPECT_EQ(exceeded({60, 50, 50}, {50, 50, 50}, {1, 1, 1}),
              (fleet::exceeded_limit{accepted_bound::jobs, true, 50, 50}));
    EXPECT_EQ(exceeded({100, 50, 50}, {2, 2, 2}, {1, 1, 1}),
              (fleet::exceeded_limit{accepted_bound::jobs, false, 100, 100}));
    EXPECT_EQ(
        exceeded({9, 39'999, 9}, {9, 39'999, 9}, {1, 2, 1}),
        (fleet::exceeded_limit{accepted_bound::tasks, true, 39'999, 40'000}));
    EXPECT_EQ(exceeded({9, 9, 999'000}, {9, 9, 400'000}, {1, 1, 1'001}),
              (fleet::exceeded_limit{accepted_bound::bytes, false, 999'000,
                                     1'000'000}));
    // Jobs of many tasks leave the last eighth to others.
    EXPECT_TRUE(exceeded({9, 34'999, 9}, {9, 34'999, 9}, {1, 501, 1}));
    EXPECT_FALSE(exceeded({9, 34'999, 9}, {9, 34'999, 9}, {1, 500, 1}));
}

// 120 jobs of 8,000 tasks were accepted, and exceeded the memory of an entry.
TEST(accepted_limits, hold_at_each_entry_and_for_each_organisation) {
    virtual_fleet fleet;
    int accepted = 0;
    while (fleet.submit(waiting_job(accepted, 8'000), accepted % 3 + 1).kind ==
           answer_kind::accepted) {
        ASSERT_LT(++accepted, 10);
        fleet.sim.run_for(duration{200});
    }
    EXPECT_GE(accepted, 3);

    const auto refused = fleet.submit(waiting_job(100, 8'000), 2);
    EXPECT_EQ(refused.kind, answer_kind::not_run);
    EXPECT_GE(refused.retry_after, duration{8'000});
    EXPECT_LE(refused.retry_after, duration{12'000});

    // Others are not shut out, nor are small jobs.
    EXPECT_EQ(fleet.submit(waiting_job(200, 8'000), 1, "cwm-key").kind,
              answer_kind::accepted);
    EXPECT_EQ(fleet.submit(waiting_job(201, 10), 1).kind,
              answer_kind::accepted);

    // A job on record is accepted again, also by an entry that has not read the
    // records yet.
    EXPECT_EQ(fleet.submit(waiting_job(0, 8'000), 3).kind,
              answer_kind::accepted);
    fleet.kill_entry(2);
    fleet.start_entry(2);
    fleet.sim.run_until(
        [&] { return fleet.entry(2).jobs().accepted.all.tasks > 24'000; },
        duration{5000});
    EXPECT_EQ(fleet.submit(waiting_job(0, 8'000), 2).kind,
              answer_kind::accepted);

    // Room returns with the end of a job, once its record is removed.
    ASSERT_EQ(fleet.cancel(job_id(0)).kind, answer_kind::accepted);
    EXPECT_EQ(fleet.submit(waiting_job(101, 8'000), 1).kind,
              answer_kind::not_run);
    fleet.sim.run_for(duration{155'000});
    EXPECT_EQ(fleet.submit(waiting_job(101, 8'000), 1).kind,
              answer_kind::accepted);
}

// Calls that arrive together are checked before any of their jobs is stored.
TEST(accepted_limits, count_jobs_that_are_being_written) {
    virtual_fleet fleet;
    for (int n = 0; n < 20; ++n)
        fleet.submit_async(waiting_job(n, 8'000), 1, "kwela-key", "/normal/");
    fleet.sim.run_for(duration{2000});
    EXPECT_EQ(fleet.entry(1).jobs().accepted.all.tasks, 24'000);
    EXPECT_EQ(fleet.entry(1).api().in_flight, fleet::accepted_work{});
}

// ---- What the servers can run in time ----

namespace {

const fleet::queue_config urgent{"urgent", "host", "/urgent/", "order-desk",
                                 0,        2,      1.5,        duration{250}};
const fleet::queue_config normal{"normal", "host", "/normal/", "order-desk",
                                 1,        2,      3.0,        duration{1000}};

/// A service of ten servers with eight accelerators each, all in use.
fleet::service_sums full_service() {
    fleet::service_sums sums;
    sums.largest_server = {64'000, 512'000, 8};
    sums.total = {640'000, 5'120'000, 80};
    sums.usable_servers = 10;
    return sums;
}

fleet::Submission timed_job(int tasks, int estimate_ms) {
    auto job = make_job(job_id(1), "ms=10", tasks, small);
    job.mutable_steps(0)->set_estimate_ms(estimate_ms);
    return job;
}

/// A state received at time 0 in which work of a priority takes `drain`.
std::optional<fleet::known_load> known_drain(duration drain, int priority = 1) {
    auto load = fleet::make_load({{"order-desk", full_service()}});
    load.epoch = 7;
    load.sequence = 1;
    load.services["order-desk"].drain[priority] = drain;
    std::optional<fleet::known_load> known;
    apply_load(known, load, time_point{});
    return known;
}

bool is_refused(const std::optional<fleet::known_load>& known,
                const fleet::Submission& job,
                const fleet::queue_config& queue = normal,
                duration age = duration{0}) {
    return refuse_by_load(known, job, queue, true, time_point{} + age)
        .has_value();
}

/// The drain time at which a job of one second is refused.
const duration hopeless = *max_wait(timed_job(1, 1000), normal) + duration{1};

} // namespace

TEST(drain_time, is_that_of_the_scarcest_resource) {
    fleet::work_by_time work{};
    add_tasks(work, {1'000, 64'000, 1}, 800, duration{1000});
    // Accelerators: 800 s of 80. Memory: 51,200,000 MBs of 5,120,000 MB.
    EXPECT_EQ(drain_time(work, full_service().total), duration{10'000});
    add_tasks(work, {0, 64'000, 0}, 800, duration{1000});
    EXPECT_EQ(drain_time(work, full_service().total), duration{20'000});
}

// An hour of work on a quarter of the servers would have counted as fifteen
// minutes in which nothing can start.
TEST(drain_time, does_not_count_room_beside_long_work) {
    fleet::work_by_time work{};
    add_tasks(work, small, 20, duration{3'600'000});
    EXPECT_EQ(drain_time(work, full_service().total), duration{0});
    add_tasks(work, small, 600, duration{1000});
    EXPECT_EQ(drain_time(work, full_service().total), duration{10'000});
}

TEST(cell_load, counts_for_each_priority_what_goes_before_it) {
    auto sums = full_service();
    add_tasks(sums.work[0].in_time, small, 160, duration{1000});
    add_tasks(sums.work[1].in_time, small, 800, duration{1000});
    add_tasks(sums.work[1].late, small, 400, duration{1000});
    add_tasks(sums.work[2].in_time, small, 80, duration{1000});
    const auto load = fleet::make_load({{"order-desk", sums}});
    const auto& service = load.services.at("order-desk");
    EXPECT_EQ(fleet::drain_of(service, 0), duration{2'000});
    EXPECT_EQ(fleet::drain_of(service, 1), duration{12'000});
    EXPECT_EQ(fleet::drain_of(service, 2), duration{18'000});
    EXPECT_EQ(fleet::drain_of(service, 3), duration{18'000});
    EXPECT_EQ(fleet::from_record(to_record(load)), load);
    sums.returning = sums.total;
    EXPECT_EQ(
        fleet::drain_of(
            fleet::make_load({{"order-desk", sums}}).services.at("order-desk"),
            2),
        duration{9'000});
}

TEST(cell_load, is_published_on_material_change_only) {
    auto load = known_drain(duration{10'000})->load;
    const std::optional published{load};
    ++load.sequence;
    load.services["order-desk"].drain[1] = duration{10'900};
    EXPECT_FALSE(is_due(load, published, duration{900}));
    EXPECT_TRUE(is_due(load, published, duration{1000}));
    load.services["order-desk"].drain[1] = duration{12'000};
    EXPECT_TRUE(is_due(load, published, duration{0}));
    load.services["order-desk"].drain = {{1, duration{200}}};
    const std::optional calm{load};
    load.services["order-desk"].drain = {};
    load.services["order-desk"].free = {64'000, 1, 1};
    EXPECT_FALSE(is_due(load, calm, duration{4'999}));
    EXPECT_TRUE(is_due(load, calm, duration{5'000}));
    --load.services["order-desk"].usable_servers;
    EXPECT_TRUE(is_due(load, calm, duration{0}));
}

TEST(door, refuses_a_task_that_fits_no_server) {
    const auto known = known_drain(duration{0});
    auto job = timed_job(1, 1000);
    EXPECT_FALSE(is_refused(known, job));
    job.mutable_steps(0)->mutable_each()->set_accelerators(9);
    EXPECT_TRUE(is_refused(known, job));
    EXPECT_TRUE(is_refused(known, job, normal, duration{10'000}));
    EXPECT_FALSE(is_refused(known, job, normal, duration{10'001}));
    auto other = normal;
    other.service = "another service";
    EXPECT_FALSE(is_refused(known, job, other));
}

TEST(door, refuses_a_job_that_could_only_end_too_late) {
    const auto known = known_drain(hopeless);
    const auto job = timed_job(1, 1000);
    ASSERT_TRUE(is_refused(known, job));
    const auto longer = known_drain(hopeless + duration{30'000});
    EXPECT_EQ(refuse_by_load(longer, job, normal, true, {})->retry_after,
              duration{30'001});
    EXPECT_FALSE(is_refused(known, timed_job(1, 1'100))) << "it can wait";
    EXPECT_FALSE(is_refused(known, job, urgent)) << "it can preempt";
    EXPECT_FALSE(refuse_by_load(known, job, normal, false, {}))
        << "its organisation has its turn";
    auto recurring = job, lasting = job, filling = job, undeclared = job;
    recurring.set_occurrences(3);
    lasting.mutable_steps(0)->set_lasting(true);
    filling.mutable_steps(0)->set_filling(true);
    undeclared.mutable_steps(0)->clear_estimate_ms();
    for (const auto& other : {recurring, lasting, filling, undeclared})
        EXPECT_FALSE(is_refused(known, other));
    auto with_room = known;
    with_room->load.services["order-desk"].free = small;
    EXPECT_FALSE(is_refused(with_room, job));
    EXPECT_TRUE(is_refused(with_room, timed_job(60, 1000)));
}

TEST(door, admits_without_a_recent_state) {
    const auto job = timed_job(1, 1000);
    EXPECT_FALSE(is_refused(std::nullopt, job));
    const auto known = known_drain(hopeless);
    EXPECT_TRUE(is_refused(known, job, normal, duration{2'000}));
    EXPECT_FALSE(is_refused(known, job, normal, duration{2'001}));

    // A message of an earlier epoch or an overtaken one changes nothing.
    auto latest = known_drain(duration{0});
    for (auto [epoch, sequence] : {std::pair{6, 9}, {7, 1}, {7, 0}}) {
        auto load = known->load;
        load.epoch = epoch;
        load.sequence = sequence;
        EXPECT_FALSE(apply_load(latest, load, time_point{}));
    }
    EXPECT_FALSE(is_refused(latest, job));
    auto next = known->load;
    next.epoch = 8;
    EXPECT_TRUE(apply_load(latest, next, time_point{}));
    EXPECT_TRUE(is_refused(latest, job));
}

TEST(door, opens_again_below_four_fifths_of_the_drain_time) {
    const auto job = timed_job(1, 1000);
    auto known = known_drain(hopeless);
    const auto show = [&](double share) {
        auto load = known->load;
        ++load.sequence;
        load.services["order-desk"].drain[1] = duration{
            static_cast<std::int64_t>(share * double(hopeless.count()))};
        apply_load(known, load, time_point{});
        return is_refused(known, job);
    };
    EXPECT_TRUE(show(0.9));
    EXPECT_TRUE(show(0.81));
    EXPECT_FALSE(show(0.79));
    EXPECT_FALSE(show(0.95));
    EXPECT_TRUE(show(1.0));
}

// A burst of four times what the servers can run. Jobs of ten tasks of a second
// run in the order of their submission; those that end too late have no value.
TEST(door, keeps_a_burst_from_becoming_late) {
    struct result {
        int refused = 0;
        int too_late = 0;
    };
    const auto play = [](int jobs_per_second, bool refuses) {
        result found;
        std::vector<int> waiting; // When each was submitted, in seconds.
        std::optional<fleet::known_load> known;
        std::size_t next = 0;
        for (int second = 0; second < 120; ++second) {
            auto sums = full_service();
            add_tasks(sums.work[1].in_time, small,
                      static_cast<std::int64_t>(waiting.size() - next) * 10,
                      duration{1000});
            auto load = fleet::make_load({{"order-desk", sums}});
            load.sequence = second + 1;
            apply_load(known, load, time_point{});
            for (int n = 0; second < 60 && n < jobs_per_second; ++n)
                if (refuses && is_refused(known, timed_job(10, 1000)))
                    ++found.refused;
                else
                    waiting.push_back(second);
            for (int n = 0; n < 8 && next < waiting.size(); ++n) // 80 tasks.
                found.too_late += second + 1 - waiting[next++] > 12 ? 1 : 0;
        }
        return found;
    };
    EXPECT_GT(play(32, false).too_late, 300);
    EXPECT_LT(play(32, true).too_late, play(32, false).too_late / 2);
    EXPECT_GT(play(32, true).refused, 300);
    EXPECT_EQ(play(8, true).refused, 0) << "there is room for all";
}

// ---- The owner and the entries ----

namespace {

/// Fills the servers, the rack that is kept for urgent work included, and keeps
/// work of minutes waiting.
void overload(virtual_fleet& fleet) {
    for (int n = 0; n < 40; ++n) {
        auto job = make_job(job_id(1000 + n), "ms=4000", 48, small);
        job.mutable_steps(0)->set_estimate_ms(4000);
        fleet.submit_async(job, 1 + n % 3, "kwela-key", "/normal/");
    }
    fleet.sim.run_for(duration{6000});
}

fleet::Submission short_job(int n) {
    auto job = make_job(job_id(n), "ms=10", 48, small);
    job.mutable_steps(0)->set_estimate_ms(10);
    return job;
}

} // namespace

TEST(published_load, lets_each_entry_refuse_what_has_no_chance) {
    virtual_fleet fleet;
    for (int entry = 1; entry <= 3; ++entry)
        EXPECT_EQ(fleet.submit(short_job(entry), entry).kind,
                  answer_kind::accepted)
            << "there is room for all";
    auto huge = short_job(10);
    huge.mutable_steps(0)->mutable_each()->set_accelerators(9);
    EXPECT_EQ(fleet.submit(huge, fleet.owner_entry() % 3 + 1).kind,
              answer_kind::not_run);

    overload(fleet);
    for (int entry = 1; entry <= 3; ++entry) {
        const auto answer = fleet.submit(short_job(20 + entry), entry);
        EXPECT_EQ(answer.kind, answer_kind::not_run) << answer.message;
        EXPECT_GE(answer.retry_after, duration{1000});
        EXPECT_EQ(fleet.submit(short_job(1), entry).kind, answer_kind::accepted)
            << "it is on record";
        EXPECT_EQ(
            fleet.submit(short_job(30 + entry), entry, "kwela-key", "/urgent/")
                .kind,
            answer_kind::accepted);
        EXPECT_EQ(fleet.submit(short_job(40 + entry), entry, "cwm-key").kind,
                  answer_kind::accepted)
            << "its organisation has its turn";
    }
}

TEST(published_load, refuses_nothing_while_it_is_switched_off) {
    virtual_fleet fleet;
    overload(fleet);
    ASSERT_EQ(fleet.submit(short_job(1), 2).kind, answer_kind::not_run);
    fleet.entry(2).api().refuse_by_load = false;
    EXPECT_EQ(fleet.submit(short_job(1), 2).kind, answer_kind::accepted);
}

TEST(published_load, counts_work_that_can_run) {
    owner_fixture fixture(16);
    std::vector<fleet::cell_load> published;
    fixture.owner.on_load = [&](const auto& load) {
        published.push_back(load);
    };
    const auto tick_for = [&](int seconds) {
        for (int n = 0; n < seconds * 4; ++n) {
            fixture.report_all();
            fixture.run_for(duration{250});
            on_tick(fixture.owner);
        }
    };
    const auto drain = [&] {
        return fleet::drain_of(published.back().services.at("order-desk"), 1);
    };
    tick_for(11);
    EXPECT_EQ(published.size(), 3U) << "at once, and each 5 s";
    EXPECT_EQ(published.back().services.at("order-desk").usable_servers, 16);
    EXPECT_EQ(drain(), duration{0});

    // 128 tasks of a minute fill the servers; as many wait.
    fixture.add_job(job_id(1), "normal", 256, small, false);
    tick_for(1);
    EXPECT_NEAR(static_cast<double>(drain().count()), 119'000, 2'000);
    fixture.add_job(job_id(2), "normal", 500, {1, 1, 9}, false);
    fixture.add_job(job_id(3), "urgent", 128, small, false);
    tick_for(1);
    EXPECT_NEAR(static_cast<double>(drain().count()), 178'000, 4'000);

    const auto count = published.size();
    fixture.owner.policy.refuse_by_load = false;
    tick_for(6);
    EXPECT_EQ(published.size(), count);
}

// The servers of a new owner that have reported are not all that it has.
TEST(published_load, ages_out_until_a_new_owner_knows_its_servers) {
    virtual_fleet fleet;
    overload(fleet);
    const int former = fleet.owner_entry();
    const int other = former % 3 + 1;
    ASSERT_EQ(fleet.submit(short_job(1), other).kind, answer_kind::not_run);
    const auto known = fleet.entry(other).api().load;
    fleet.kill_entry(former);
    fleet.kill_agent(1);
    fleet.sim.run_for(duration{2'100});
    ASSERT_NE(fleet.owner_entry(), 0);
    ASSERT_EQ(fleet.entry(other).api().load, known);
    EXPECT_EQ(fleet.submit(short_job(1), other).kind, answer_kind::accepted);
    EXPECT_TRUE(fleet.sim.run_until(
        [&] {
            return fleet.entry(other).api().load->load.epoch >
                   known->load.epoch;
        },
        duration{15'000}));
}

} // namespace celerylift::test
