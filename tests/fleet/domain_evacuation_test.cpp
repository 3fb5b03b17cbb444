// Failure domains that operators take out of service. Guards against starts
// there after the request, and against work that does not run elsewhere.
#include "fleet_scenario.hpp"
#include "owner_fixture.hpp"

#include <gtest/gtest.h>

#include <fmt/format.h>

namespace celerylift::test {

namespace {

using fleet::domain_evacuations;

constexpr fleet::resources whole_server{64'000, 100'000, 8};
constexpr duration bound{5000};
/// Within this time entries and agents know of a request while the store and
/// the links work.
constexpr duration usual_delay{1000};

std::string job_id(int n) {
    return fmt::format("{:016x}", n);
}

fleet::store_change change(const std::string& key, std::int64_t revision,
                           bool removed = false) {
    return {{key, "", revision}, removed};
}

std::vector<std::string> lines_with(const virtual_fleet& fleet,
                                    const std::string& text) {
    std::vector<std::string> lines;
    for (const auto& line : fleet.sim.log)
        if (line.find(text) != std::string::npos)
            lines.push_back(line);
    return lines;
}

std::size_t count_lines(const virtual_fleet& fleet, const std::string& text) {
    return lines_with(fleet, text).size();
}

/// Servers 1 to 3 are in the failure domain a, 4 to 6 in b.
class two_domains : public ::testing::Test {
protected:
    ~two_domains() override {
        for (const auto& violation : fleet.history.violations)
            ADD_FAILURE() << violation;
    }

    void submit_queue() {
        fleet.submit(make_job(job_id(1), "ms=600", 60, whole_server),
                     fleet.owner_entry());
        fleet.sim.run_for(duration{200});
    }

    /// Runs for a time, and returns the starts in domain b.
    int starts_in_b(duration time) {
        const auto first_line = fleet.sim.log.size();
        fleet.sim.run_for(time);
        return count_events(fleet, first_line, "start_sent", "za-north-b");
    }

    virtual_fleet fleet{{3, 6, 3, 2}};
};

} // namespace

TEST(evacuation_key, names_one_domain_or_none) {
    const auto parse = [](std::string_view key) {
        return fleet::parse_evacuation_key(key, "op/evacuate/");
    };
    EXPECT_EQ(parse("op/evacuate/za-north-a"), "za-north-a");
    for (const auto* key : {"op/evacuate/", "op/evacuate/a/b", "op/evacuate/A",
                            "op/evacuate/\xff", "op/config"})
        EXPECT_FALSE(parse(key)) << key;
    EXPECT_FALSE(parse("op/evacuate/" + std::string(64, 'a')));
}

TEST(evacuation_state, is_the_newest_in_any_order_of_arrival) {
    const domain_evacuations none, old{5, {"a"}}, recent{7, {"b"}},
        same{7, {"a"}};
    for (const auto& [left, right, newest] :
         {std::tuple{none, old, old}, std::tuple{old, recent, recent},
          std::tuple{recent, recent, recent},
          std::tuple{recent, same, domain_evacuations{7, {"a", "b"}}}}) {
        EXPECT_EQ(newest_of(left, right), newest);
        EXPECT_EQ(newest_of(right, left), newest);
    }
    EXPECT_EQ(restricted_to(recent, "a"), (domain_evacuations{7, {}}));
    EXPECT_EQ(restricted_to(recent, "b"), recent);
}

TEST(evacuation_keys, follow_reads_and_changes_that_are_missed_or_late) {
    const auto domains = [](const fleet::evacuation_keys& keys) {
        return evacuations_of(keys, "x/", 0).domains;
    };
    using names = std::set<std::string, std::less<>>;
    auto keys = with_change({}, change("x/a", 5));
    keys = with_change(keys, change("x/B", 6));
    EXPECT_EQ(domains(keys), names{"a"}) << "the other key is unreadable";
    keys = with_change(keys, change("x/a", 9, true));
    keys = with_change(keys, change("x/a", 5));
    EXPECT_EQ(domains(keys), names{}) << "withdrawn before the late change";
    keys = with_read(keys, {{"x/c", "", 10}}, 12);
    EXPECT_EQ(domains(keys), names{"c"}) << "made and missed by the watch";
    EXPECT_EQ(with_change(keys, change("x/a", 11)), keys) << "older than read";
    EXPECT_EQ(with_read(keys, {}, 8), keys) << "an older read";
    keys = with_change(keys, change("x/a", 13));
    keys = with_read(keys, {}, 12);
    EXPECT_EQ(domains(keys), names{"a"}) << "newer than the read";
    EXPECT_EQ(evacuations_of(keys, "x/", 13).as_of, 13);
}

TEST(evacuation_view, lets_an_owner_place_while_it_is_complete_and_recent) {
    const time_point now{duration{10'000}};
    const fleet::evacuation_view view{true, {7, {}}, now - duration{2000}};
    EXPECT_TRUE(is_fresh(view, 7, now));
    EXPECT_FALSE(is_fresh(view, 8, now)) << "an earlier owner may know more";
    EXPECT_FALSE(is_fresh(view, 7, now + duration{1}));
    EXPECT_TRUE(fleet::is_fresh({}, 8, now))
        << "there are no requests to follow";
}

// Requests that a former owner has respected may be missing in an older view.
TEST(new_owner, places_nothing_before_its_view_has_reached_its_epoch) {
    owner_fixture fixture{4};
    const auto epoch = fixture.owner.epoch;
    const auto view_as_of = [&](std::int64_t as_of) {
        return fleet::evacuation_view{true, {as_of, {}}, fixture.sim.now};
    };
    on_evacuations(fixture.owner, view_as_of(epoch - 1));
    fixture.add_job(job_id(1), "urgent", 4, {1000, 1000, 8}, false);
    fixture.run_for(duration{200});
    EXPECT_EQ(fixture.assigned_tasks(), 0);
    on_evacuations(fixture.owner, view_as_of(epoch));
    fixture.run_for(duration{10});
    EXPECT_EQ(fixture.assigned_tasks(), 4);
}

TEST_F(two_domains,
       of_which_one_is_out_of_service_let_a_queue_run_in_the_other) {
    submit_queue();
    auto running = make_job(job_id(2), "ms=7000", 1, {1000, 1000, 0});
    running.mutable_steps(0)->set_estimate_ms(7000);
    running.mutable_steps(0)->set_affinity_rack("rack-1");
    fleet.submit(running);
    fleet.sim.run_for(duration{100});
    fleet.take_out_of_service("za-north-b");
    fleet.sim.run_for(usual_delay);
    EXPECT_EQ(starts_in_b(duration{4000}), 0);
    EXPECT_GT(fleet.history.starts, 15) << "domain a is in use";
    EXPECT_TRUE(fleet.wait_for_state(job_id(2), fleet::JOB_COMPLETED));
    EXPECT_EQ(fleet.history.completed[job_id(2) + ".0.0.0"].size(), 1U);
    EXPECT_EQ(fleet.history.starts_by_task[job_id(2) + ".0.0.0"], 1)
        << "running work is left alone";
    fleet.return_to_service("za-north-b");
    EXPECT_GT(starts_in_b(usual_delay), 0);
}

TEST_F(two_domains, stay_out_of_service_when_the_owner_ends_after_the_request) {
    submit_queue();
    fleet.take_out_of_service("za-north-b");
    const int former = fleet.owner_entry();
    fleet.kill_entry(former);
    fleet.sim.run_for(usual_delay);
    EXPECT_EQ(starts_in_b(duration{5000}), 0);
    fleet.start_entry(former);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
}

TEST_F(two_domains, are_followed_by_an_owner_that_is_cut_off_from_the_store) {
    submit_queue();
    const auto owner = fmt::format("entry-{}", fleet.owner_entry());
    fleet.store.client_faults[owner] = store_fault::unresponsive;
    fleet.take_out_of_service("za-north-b");
    fleet.sim.run_for(usual_delay * 2);
    EXPECT_EQ(starts_in_b(duration{3000}), 0);
    fleet.return_to_service("za-north-b");
    EXPECT_GT(starts_in_b(usual_delay * 3), 0);
}

TEST_F(two_domains, are_followed_when_watches_are_silent_and_then_compacted) {
    submit_queue();
    fleet.store.silence_watches = true;
    fleet.take_out_of_service("za-north-b");
    fleet.sim.run_for(usual_delay);
    EXPECT_EQ(starts_in_b(duration{2500}), 0);
    fleet.return_to_service("za-north-b");
    fleet.store.compact();
    fleet.store.silence_watches = false;
    EXPECT_GT(starts_in_b(usual_delay * 2), 0);
}

TEST_F(two_domains, get_no_work_while_the_store_confirms_no_view) {
    fleet.store.silence_watches = true;
    fleet.store.page_time = duration{1500};
    fleet.sim.run_for(fleet::max_evacuation_view_age + usual_delay);
    fleet.submit(make_job(job_id(1), "ms=100", 6, whole_server),
                 fleet.owner_entry());
    fleet.sim.run_for(duration{1000});
    EXPECT_EQ(fleet.history.starts, 0);
    EXPECT_GT(count_lines(fleet, "placement_suspended"), 0U);
    fleet.store.page_time = duration{0};
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED,
                                     usual_delay * 2, fleet.owner_entry()));
}

TEST_F(two_domains, start_nothing_after_the_bound_in_an_outage_of_the_store) {
    submit_queue();
    fleet.take_out_of_service("za-north-b");
    fleet.store.fault = store_fault::unresponsive;
    fleet.sim.run_for(bound);
    fleet.store.fault = store_fault::none;
    EXPECT_EQ(starts_in_b(duration{4000}), 0);
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED));
}

TEST_F(two_domains, are_as_last_requested_after_several_requests) {
    submit_queue();
    for (int n = 0; n < 3; ++n) {
        fleet.take_out_of_service("za-north-a");
        fleet.take_out_of_service("za-north-b");
        fleet.sim.run_for(duration{3});
        fleet.return_to_service("za-north-a");
        fleet.sim.run_for(duration{300});
        fleet.return_to_service("za-north-b");
    }
    fleet.take_out_of_service("za-north-b");
    fleet.sim.run_for(usual_delay);
    for (int n = 1; n <= 6; ++n)
        EXPECT_EQ(fleet.agent(n).evacuations.domains.empty(), n <= 3) << n;
    EXPECT_EQ(starts_in_b(duration{3000}), 0);
}

// The order was sent before the request and arrives after it, so that only the
// agent can refuse it. Its task must run elsewhere at once.
TEST_F(two_domains, refuse_orders_that_are_older_than_the_request) {
    EXPECT_EQ(assign_out_of_service(), 0);
    EXPECT_EQ(start_delayed_orders(), 0);
    for (int n = 4; n <= 6; ++n)
        fleet.set_link_delay(fleet.owner_entry(), n, duration{1500});
    fleet.submit(make_job(job_id(1), "ms=600", 6, whole_server));
    fleet.sim.run_for(duration{100});
    fleet.take_out_of_service("za-north-b");
    EXPECT_TRUE(fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED, bound));
    EXPECT_EQ(count_lines(fleet, "start_refused"), 3U);
    EXPECT_EQ(fleet.history.failures, 0);
}

// A gang that is about to start on both domains, and one that has reserved
// servers of both.
TEST_F(two_domains, hold_no_part_of_a_gang_and_no_reservation_out_of_service) {
    auto gang = make_gang(job_id(1), "ms=60000", 4, whole_server);
    gang.mutable_steps(0)->set_same_rack(false);
    for (int n = 1; n <= 6; ++n)
        fleet.set_link_delay(fleet.owner_entry(), n, duration{1500});
    fleet.submit(gang);
    fleet.sim.run_for(duration{50});
    fleet.take_out_of_service("za-north-b");
    fleet.sim.run_for(duration{4000});
    EXPECT_EQ(fleet.history.running.size(), 0U) << "no member runs alone";
    for (int n = 1; n <= 6; ++n)
        fleet.set_link_delay(fleet.owner_entry(), n, duration{1});
    fleet.return_to_service("za-north-b");
    fleet.sim.run_for(duration{3000});
    EXPECT_EQ(fleet.history.running.size(), 4U);

    gang.set_id(job_id(2));
    fleet.submit(gang);
    const auto& owner = fleet.entry(fleet.owner_entry()).owner_state();
    ASSERT_TRUE(fleet.sim.run_until([&] { return !owner.reservations.empty(); },
                                    duration{5000}));
    fleet.take_out_of_service("za-north-b");
    fleet.sim.run_for(usual_delay);
    EXPECT_TRUE(owner.reservations.empty());
    EXPECT_EQ(fleet.history.running.size(), 4U) << "the first gang goes on";
}

TEST_F(two_domains, let_work_for_a_label_of_one_of_them_wait) {
    for (int n = 4; n <= 6; ++n)
        fleet.server(n).kind = "special";
    fleet.take_out_of_service("za-north-b");
    fleet.sim.run_for(usual_delay);
    auto job = make_job(job_id(1), "ms=300", 2, whole_server);
    job.mutable_steps(0)->set_required_label("special");
    fleet.submit(job);
    fleet.sim.run_for(bound);
    EXPECT_EQ(fleet.history.starts, 0);
    fleet.return_to_service("za-north-b");
    EXPECT_TRUE(
        fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED, usual_delay * 2));
}

TEST_F(two_domains, go_on_after_requests_that_name_none_of_them) {
    fleet.take_out_of_service("za-south");
    fleet.store.put("op/evacuate/not/a domain", "");
    fleet.sim.run_for(duration{5000});
    EXPECT_EQ(count_lines(fleet, "op/evacuate/za-south"), 1U);
    EXPECT_EQ(count_lines(fleet, "op/evacuate/not/a domain"), 3U)
        << "one line of each entry";
    fleet.submit(make_job(job_id(1), "ms=300", 6, whole_server));
    EXPECT_TRUE(
        fleet.wait_for_state(job_id(1), fleet::JOB_COMPLETED, usual_delay * 2));
}

TEST_F(two_domains, get_work_on_cold_servers_last) {
    for (int n = 4; n <= 6; ++n)
        fleet.server(n).cold_left = duration{2000};
    fleet.sim.run_for(duration{600});
    const auto first_line = fleet.sim.log.size();
    fleet.submit(make_job(job_id(1), "ms=300", 3, whole_server), 1, "kwela-key",
                 "/urgent/");
    fleet.sim.run_for(duration{200});
    EXPECT_EQ(count_events(fleet, first_line, "start_sent", "za-north-a"), 3);
    fleet.submit(make_job(job_id(2), "ms=300", 3, whole_server));
    EXPECT_TRUE(
        fleet.wait_for_state(job_id(2), fleet::JOB_COMPLETED, usual_delay * 2));
}

TEST(no_request, leaves_all_decisions_as_without_the_feature) {
    std::vector<std::string> decisions[2];
    for (const bool follows : {false, true}) {
        virtual_fleet fleet{{3, 6, 3, 2, follows}};
        scenario workload{fleet, {}};
        workload.begin();
        workload.finish();
        for (const auto* event : {"task_assigned", "room_re", "run_stopping"})
            for (auto& line : lines_with(fleet, event))
                decisions[follows].push_back(std::move(line));
        EXPECT_EQ(count_lines(fleet, "placement_suspended"), 0U);
    }
    EXPECT_FALSE(decisions[0].empty());
    EXPECT_EQ(decisions[0], decisions[1]);
}

} // namespace celerylift::test
