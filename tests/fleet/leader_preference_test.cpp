// Which entry leads a cell of entries of different capacity: as decisions on
// the list of entries, and in virtual time.
#include "virtual_fleet.hpp"

#include <celerylift/fleet/leader_preference.hpp>

#include <gtest/gtest.h>

namespace celerylift::test {

namespace {

fleet::EntryRecord entry_of(const std::string& name, std::int64_t millicores,
                            std::int64_t link_mbps) {
    fleet::EntryRecord e;
    e.set_name(name);
    e.set_millicores(millicores);
    e.set_link_mbps(link_mbps);
    return e;
}

fleet::entry_records entries_of(const std::vector<fleet::EntryRecord>& listed) {
    fleet::entry_records entries;
    for (const auto& e : listed)
        entries[e.name()] = e;
    return entries;
}

} // namespace

// ---- Decisions on the list of entries ----

TEST(free_cell, is_claimed_at_once_by_the_entry_of_highest_capacity) {
    const auto strong = entry_of("c", 500, 200);
    const auto weak = entry_of("a", 120, 20);
    const auto entries = entries_of({strong, weak});
    EXPECT_EQ(fleet::claim_delay(entries, strong), duration{0});
    EXPECT_GT(fleet::claim_delay(entries, weak), duration{0});
}

TEST(free_cell, is_left_to_the_first_of_equal_entries) {
    const auto first = entry_of("a", 500, 200);
    const auto second = entry_of("b", 500, 200);
    const auto entries = entries_of({first, second});
    EXPECT_EQ(fleet::claim_rank(entries, first), 0);
    EXPECT_EQ(fleet::claim_rank(entries, second), 1);
}

TEST(leader_capacity, is_the_lower_of_processor_and_link_capacity) {
    EXPECT_GT(fleet::leader_capacity(entry_of("a", 250, 1000)),
              fleet::leader_capacity(entry_of("b", 500, 10)));
}

TEST(owner, hands_over_only_to_an_entry_of_much_higher_capacity) {
    const auto self = entry_of("a", 250, 200);
    EXPECT_FALSE(fleet::should_hand_over(
        entries_of({self, entry_of("b", 300, 200)}), self));
    EXPECT_TRUE(fleet::should_hand_over(
        entries_of({self, entry_of("b", 500, 200)}), self));
}

// ---- In a fleet ----

TEST(owner_of_low_capacity, hands_over_to_a_better_entry_without_a_long_pause) {
    virtual_fleet f;
    f.millicores = {{1, 120}, {2, 120}, {3, 500}};
    for (int n = 1; n <= 3; ++n)
        f.kill_entry(n);
    f.start_entry(1);
    f.start_entry(2);
    ASSERT_TRUE(
        f.sim.run_until([&] { return f.owner_entry() != 0; }, duration{4000}));
    f.submit(make_job("000000000000000a", "ms=6000", 6, {8'000, 16'000, 1}),
             f.owner_entry());
    f.sim.run_until([&] { return f.history.starts == 6; }, duration{3000});
    f.start_entry(3);
    ASSERT_TRUE(
        f.sim.run_until([&] { return f.owner_entry() == 0; }, duration{5000}));
    EXPECT_TRUE(
        f.sim.run_until([&] { return f.owner_entry() == 3; }, duration{300}));
    EXPECT_TRUE(f.wait_for_state("000000000000000a", fleet::JOB_COMPLETED,
                                 duration{9000}, 3));
    EXPECT_EQ(f.history.starts, 6);
    EXPECT_TRUE(f.history.violations.empty());
}

TEST(entry_of_low_capacity, leads_if_no_better_one_is_left) {
    virtual_fleet f;
    f.millicores = {{1, 500}, {2, 120}, {3, 120}};
    for (int n = 1; n <= 3; ++n)
        f.kill_entry(n);
    for (int n = 1; n <= 3; ++n)
        f.start_entry(n);
    ASSERT_TRUE(
        f.sim.run_until([&] { return f.owner_entry() == 1; }, duration{5000}));
    f.kill_entry(1);
    EXPECT_TRUE(
        f.sim.run_until([&] { return f.owner_entry() != 0; }, duration{2500}));
}

// The write that releases the cell may take effect seconds later. The entry
// must not lead again under the epoch that it has handed over.
TEST(handover, with_a_lost_reply_leaves_one_owner) {
    virtual_fleet f;
    f.millicores = {{1, 120}, {2, 500}, {3, 500}};
    for (int n = 1; n <= 3; ++n)
        f.kill_entry(n);
    f.start_entry(1);
    ASSERT_TRUE(
        f.sim.run_until([&] { return f.owner_entry() == 1; }, duration{4000}));
    f.store.client_faults["entry-1"] = store_fault::delayed_writes;
    f.start_entry(2);
    f.start_entry(3);
    bool regained = false;
    bool given_up = false;
    f.sim.run_until(
        [&] {
            given_up = given_up || f.owner_entry() != 1;
            regained = regained || (given_up && f.owner_entry() == 1);
            return false;
        },
        duration{8000});
    EXPECT_TRUE(given_up);
    EXPECT_FALSE(regained);
    EXPECT_NE(f.owner_entry(), 0);
}

} // namespace celerylift::test
