// Tests the invariants of scheduling decisions under random sequences of
// events, and single scenarios of guarantees, failures and overload.
#include <celerylift/kernel/fragmentation.hpp>
#include <celerylift/kernel/guarantees.hpp>
#include <celerylift/kernel/policy.hpp>
#include <celerylift/kernel/queue.hpp>
#include <celerylift/kernel/reclaim.hpp>
#include <celerylift/kernel/schedule.hpp>
#include <celerylift/kernel/workers.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace celerylift::kernel {

namespace {

constexpr int accelerators = 8;

cell_state cell_of(int workers, const char* policy = "shape_aware") {
    cell_state cell;
    cell.policy = find_policy(policy);
    for (int w = 0; w < workers; ++w)
        add_worker(cell, {fmt::format("w{}", w), fmt::format("r{}", w / 3),
                          fmt::format("d{}", w / 6), accelerators});
    return cell;
}

organisation org_with(const std::string& name,
                      std::vector<guarantee_block> guarantee) {
    return {name, std::move(guarantee), 0};
}

job job_of(const std::string& id, const std::string& org, gang_shape shape,
           bool repeatable = true) {
    job j;
    j.id = id;
    j.organisation = org;
    j.shape = shape;
    j.declared_run = duration{60'000};
    j.repeatable = repeatable;
    return j;
}

/// Ends every gang that is being stopped and queues its job again, as the
/// agents and the owner do.
void end_stopping(cell_state& cell, time_point now) {
    std::vector<gang_id> ids;
    for (const auto& [id, gang] : cell.gangs) {
        if (gang.stopping)
            ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    for (gang_id id : ids) {
        const auto job = cell.gangs.at(id).job;
        end_gang(cell, id, gang_end::stopped, now);
        enqueue(cell, job, now);
    }
}

bool runs(const cell_state& cell, const std::string& job) {
    return std::any_of(cell.gangs.begin(), cell.gangs.end(), [&](auto& g) {
        return g.second.job.id == job && !g.second.stopping;
    });
}

// ---- Invariants ----

std::map<int, int> used_by_gangs(const cell_state& cell) {
    std::map<int, int> used;
    for (const auto& [id, gang] : cell.gangs)
        for (const auto& s : gang.shares)
            used[s.worker] += s.accelerators;
    return used;
}

void check_accelerators(const cell_state& cell) {
    auto used = used_by_gangs(cell);
    std::map<int, int> homed;
    std::map<int, int> held;
    for (const auto& block : cell.blocks)
        for (const auto& s : block.home)
            homed[s.worker] += s.worker >= 0 ? s.accelerators : 0;
    for (const auto& id : cell.claims)
        for (const auto& s : cell.waiting.at(id).reclaim->shares)
            held[s.worker] += s.accelerators;
    for (int w = 0; w < static_cast<int>(cell.workers.size()); ++w) {
        const auto& s = cell.workers[w];
        RC_ASSERT(s.used == used[w]);
        RC_ASSERT(s.used <= s.spec.accelerators);
        RC_ASSERT(s.homed == homed[w]);
        RC_ASSERT(s.held == held[w]);
        RC_ASSERT(s.homed + s.pinned <= s.spec.accelerators);
    }
}

int unit_of(const cell_state& cell, adjacency within, int w) {
    switch (within) {
    case adjacency::worker:
        return w;
    case adjacency::rack:
        return cell.workers[w].rack;
    case adjacency::failure_domain:
        return cell.workers[w].domain;
    case adjacency::cell:
        break;
    }
    return 0;
}

void check_whole_gangs(const cell_state& cell) {
    for (const auto& [id, gang] : cell.gangs) {
        int total = 0;
        std::set<int> units;
        for (const auto& s : gang.shares) {
            total += s.accelerators;
            units.insert(unit_of(cell, gang.job.shape.within, s.worker));
        }
        RC_ASSERT(total == total_accelerators(gang.job.shape));
        RC_ASSERT(units.size() <= 1u);
    }
}

void check_unit_summaries(const cell_state& cell) {
    for (const auto& rack : cell.racks) {
        for (int k = 1; k <= max_accelerators_per_worker; ++k) {
            int members = 0;
            for (int w : rack.workers)
                members += available(cell, w) / k;
            RC_ASSERT(rack.fitting_members[k] == members);
        }
    }
}

/// Every unused block that has a home can be reclaimed in one step, and only
/// borrowed gangs have to be stopped for it.
void check_guarantees(cell_state cell, time_point now) {
    int number = 0;
    const auto blocks = cell.blocks;
    for (const auto& block : blocks) {
        if (block.organisation < 0 || !is_unused(block) || is_homeless(block))
            continue;
        const auto id = fmt::format("reclaim-{}", number++);
        cell_state trial = cell;
        trial.waiting.reserve(trial.waiting.size() + 1);
        job j = job_of(id, cell.organisations[block.organisation].spec.name,
                       block.shape);
        waiting_job waiting;
        waiting.job = j;
        const auto plan = plan_in_guarantee(trial, waiting, now);
        RC_ASSERT(plan.has_value());
        for (gang_id preempted : plan->gangs_to_stop)
            RC_ASSERT(trial.gangs.at(preempted).use == gang_use::borrowed);
    }
}

/// A random event of a cell. `a` and `b` select the worker, gang, shape or
/// organisation that it concerns.
struct random_event {
    int kind = 0;
    int a = 0;
    int b = 0;
};

} // namespace

} // namespace celerylift::kernel

namespace rc {

template <>
struct Arbitrary<celerylift::kernel::random_event> {
    static Gen<celerylift::kernel::random_event> arbitrary() {
        using celerylift::kernel::random_event;
        return gen::build<random_event>(
            gen::set(&random_event::kind, gen::inRange(0, 9)),
            gen::set(&random_event::a, gen::inRange(0, 1000)),
            gen::set(&random_event::b, gen::inRange(0, 1000)));
    }
};

} // namespace rc

namespace celerylift::kernel {

namespace {

const std::vector<gang_shape> shapes{
    {1, 1, adjacency::worker}, {1, 8, adjacency::worker},
    {3, 8, adjacency::rack},   {2, 4, adjacency::rack},
    {4, 4, adjacency::cell},   {6, 2, adjacency::failure_domain},
};

void end_some_gang(cell_state& cell, int draw, gang_end how, time_point now) {
    if (cell.gangs.empty())
        return;
    std::vector<gang_id> ids;
    for (const auto& [id, gang] : cell.gangs)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    end_gang(cell, ids[static_cast<std::size_t>(draw) % ids.size()], how, now);
}

/// Marks a worker as unusable and ends its gangs: by the time the worker's
/// lease has expired, none of them can be running.
void lose_worker(cell_state& cell, int w, time_point now) {
    set_worker_usable(cell, fmt::format("w{}", w), false);
    const auto gangs = cell.workers[w].gangs;
    for (gang_id id : gangs)
        end_gang(cell, id, gang_end::stopped, now);
}

void apply_event(cell_state& cell, const random_event& h, int step,
                 time_point now) {
    const auto org = fmt::format("org{}", h.b % 3);
    const int w = h.a % static_cast<int>(cell.workers.size());
    switch (h.kind) {
    case 0:
    case 1:
    case 2:
        enqueue(cell,
                job_of(fmt::format("j{}", step), org,
                       shapes[static_cast<std::size_t>(h.a) % shapes.size()],
                       h.b % 4 != 0),
                now);
        break;
    case 3:
        end_some_gang(cell, h.a, gang_end::completed, now);
        break;
    case 4:
        end_stopping(cell, now);
        break;
    case 5:
        lose_worker(cell, w, now);
        break;
    case 6:
        set_worker_usable(cell, fmt::format("w{}", w), true);
        break;
    case 7:
        set_organisation(
            cell,
            org_with(
                org,
                {{h.a % 3,
                  shapes[static_cast<std::size_t>(h.a) % shapes.size()]}}));
        break;
    default:
        remove_waiting(cell, fmt::format("j{}", h.a % (step + 1)));
        break;
    }
    schedule(cell, now);
}

// ---- In any order of events... ----

RC_GTEST_PROP(any_order_of_events, keeps_accelerators_gangs_and_guarantees,
              (const std::vector<random_event>& events)) {
    auto cell = cell_of(12);
    for (int o = 0; o < 3; ++o)
        set_organisation(cell, org_with(fmt::format("org{}", o), {}));
    time_point now{};
    int step = 0;
    for (const auto& h : events) {
        now += duration{500};
        apply_event(cell, h, step++, now);
        check_accelerators(cell);
        check_whole_gangs(cell);
        check_unit_summaries(cell);
        check_guarantees(cell, now);
    }
}

// ---- Given a guarantee of a whole rack that others have borrowed... ----

class a_guarantee : public ::testing::Test {
protected:
    void SetUp() override {
        ASSERT_FALSE(error_of(set_organisation(
            cell, org_with("owner", {{1, {3, 8, adjacency::rack}}}))));
        ASSERT_FALSE(error_of(set_organisation(cell, org_with("other", {}))));
        for (int i = 0; i < 6; ++i)
            enqueue(cell,
                    job_of(fmt::format("b{}", i), "other",
                           {1, 8, adjacency::worker}),
                    now);
        schedule(cell, now);
    }

    cell_state cell = cell_of(6);
    time_point now{};
};

TEST_F(a_guarantee, is_reclaimed_whole_from_its_borrowers) {
    ASSERT_EQ(cell.gangs.size(), 6u);
    enqueue(cell, job_of("mine", "owner", {3, 8, adjacency::rack}), now);
    schedule(cell, now);
    EXPECT_FALSE(runs(cell, "mine"));
    end_stopping(cell, now);
    schedule(cell, now);
    EXPECT_TRUE(runs(cell, "mine"));
    EXPECT_EQ(cell.gangs.size(), 4u);
}

TEST_F(a_guarantee, moves_when_a_worker_of_its_home_is_lost) {
    const int w = cell.blocks.front().home.front().worker;
    lose_worker(cell, w, now);
    EXPECT_FALSE(is_homeless(cell.blocks.front()));
    for (const auto& s : cell.blocks.front().home)
        EXPECT_NE(cell.workers[s.worker].rack, cell.workers[w].rack);
}

TEST(a_guarantee_whose_rack_is_broken, moves_under_the_gangs_of_another) {
    auto cell = cell_of(6);
    time_point now{};
    set_organisation(cell, org_with("large", {{1, {3, 8, adjacency::rack}}}));
    set_organisation(cell, org_with("small", {{2, {1, 8, adjacency::worker}}}));
    const int home = cell.blocks.front().home.front().worker;
    for (const auto* id : {"s1", "s2"})
        enqueue(cell, job_of(id, "small", {1, 8, adjacency::worker}), now);
    schedule(cell, now);
    for (const auto& [id, gang] : cell.gangs)
        ASSERT_EQ(gang.use, gang_use::guaranteed);
    set_worker_usable(cell, fmt::format("w{}", home), false);
    ASSERT_FALSE(is_homeless(cell.blocks.front()));
    enqueue(cell, job_of("l", "large", {3, 8, adjacency::rack}), now);
    schedule(cell, now);
    end_stopping(cell, now);
    schedule(cell, now);
    EXPECT_TRUE(runs(cell, "l"));
    EXPECT_TRUE(runs(cell, "s1"));
    EXPECT_TRUE(runs(cell, "s2"));
}

TEST_F(a_guarantee, that_does_not_fit_is_refused_and_changes_nothing) {
    const auto refused = set_organisation(
        cell, org_with("third", {{2, {3, 8, adjacency::rack}}}));
    ASSERT_TRUE(error_of(refused));
    EXPECT_EQ(error_of(refused)->kind, error_kind::infeasible);
    EXPECT_NE(error_of(refused)->message.find("no capacity for 1 of the 2"),
              std::string::npos);
    EXPECT_EQ(cell.organisation_index.count("third"), 0u);
}

TEST_F(a_guarantee, is_not_lent_to_work_that_must_not_be_repeated) {
    end_stopping(cell, now);
    while (!cell.gangs.empty())
        end_gang(cell, cell.gangs.begin()->first, gang_end::completed, now);
    for (int i = 0; i < 6; ++i)
        enqueue(cell,
                job_of(fmt::format("once{}", i), "other",
                       {1, 8, adjacency::worker}, false),
                now);
    schedule(cell, now);
    EXPECT_EQ(cell.gangs.size(), 3u);
}

// ---- Given workers or jobs that fail... ----

TEST(a_failing_worker, is_out_after_three_failed_tasks_and_returns) {
    auto cell = cell_of(3);
    time_point now{};
    EXPECT_FALSE(record_task(cell, 0, "a", false, now));
    EXPECT_FALSE(record_task(cell, 0, "b", false, now));
    EXPECT_TRUE(record_task(cell, 0, "c", false, now));
    EXPECT_FALSE(accepts_gangs(cell.workers[0]));
    end_quarantines(cell, now + first_quarantine);
    EXPECT_TRUE(accepts_gangs(cell.workers[0]));
    EXPECT_TRUE(record_task(cell, 0, "d", false, now + first_quarantine));
}

TEST(a_failing_job, takes_no_worker_down_with_it) {
    auto cell = cell_of(9);
    for (int w = 0; w < 9; ++w)
        record_task(cell, w, "broken", false, time_point{});
    for (const auto& w : cell.workers)
        EXPECT_TRUE(accepts_gangs(w));
    EXPECT_EQ(cell.workers[0].failures, 0);
}

// ---- Given more work than the cell holds... ----

TEST(a_full_queue, keeps_a_tenth_for_urgent_work_and_says_when_to_retry) {
    auto cell = cell_of(3);
    cell.default_queue_limit = 20;
    set_organisation(cell, org_with("org", {}));
    const gang_shape shape{1, 8, adjacency::worker};
    int accepted = 0;
    for (int i = 0; i < 30; ++i) {
        auto j = job_of(fmt::format("j{}", i), "org", shape);
        if (check_admission(cell, j))
            continue;
        enqueue(cell, j, time_point{});
        ++accepted;
    }
    EXPECT_EQ(accepted, 18);
    auto late = job_of("late", "org", shape);
    EXPECT_EQ(check_admission(cell, late)->kind, error_kind::overloaded);
    EXPECT_GT(check_admission(cell, late)->retry_after.count(), 0);
    late.urgency = urgency::urgent;
    EXPECT_FALSE(check_admission(cell, late));
}

TEST(a_large_gang, is_not_overtaken_for_ever_by_small_ones) {
    auto cell = cell_of(3);
    set_organisation(cell, org_with("org", {}));
    time_point now{};
    int number = 0;
    const auto small = [&] {
        enqueue(cell,
                job_of(fmt::format("s{}", number++), "org",
                       {1, 4, adjacency::worker}),
                now);
    };
    for (int i = 0; i < 6; ++i)
        small();
    schedule(cell, now);
    enqueue(cell, job_of("large", "org", {3, 8, adjacency::rack}), now);
    // One small gang ends and another one arrives each second.
    for (int i = 0; i < 600 && !runs(cell, "large"); ++i) {
        now += duration{1000};
        small();
        end_some_gang(cell, 0, gang_end::completed, now);
        end_stopping(cell, now);
        schedule(cell, now);
    }
    EXPECT_TRUE(runs(cell, "large"));
}

TEST(the_backend_pool, leaves_leaving_and_failing_servers_alone) {
    backend_pool pool;
    std::uint64_t random = 1;
    update_backend(pool, {"a", "s", "agent-a", 2}, false);
    update_backend(pool, {"b", "s", "agent-b", 2}, true);
    for (int i = 0; i < 2; ++i)
        EXPECT_EQ(take_slot(pool, "s", random, time_point{}), "a");
    EXPECT_FALSE(take_slot(pool, "s", random, time_point{}));
    update_backend(pool, {"a", "s", "agent-a", 8}, false);
    for (int i = 0; i < breaker_failures; ++i) {
        take_slot(pool, "s", random, time_point{});
        return_slot(pool, "a", slot_use::failed, time_point{});
    }
    EXPECT_FALSE(take_slot(pool, "s", random, time_point{}));
    EXPECT_TRUE(take_slot(pool, "s", random, time_point{} + breaker_pause));
}

} // namespace

} // namespace celerylift::kernel
