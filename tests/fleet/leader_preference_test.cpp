// Which entry leads a cell of entries of different capacity: as decisions on
// the list of entries, and in virtual time.
#include "virtual_fleet.hpp"

#include <celerylift/fleet/leader_preference.hpp>
#include <celerylift/fleet/names.hpp>

#include <gtest/gtest.h>

#include <memory>

namespace celerylift::test {

namespace {

fleet::EntryRecord make_entry(const std::string& name, std::int64_t millicores,
                              std::int64_t link_mbps) {
    fleet::EntryRecord entry;
    entry.set_name(name);
    entry.set_millicores(millicores);
    entry.set_link_mbps(link_mbps);
    return entry;
}

fleet::entry_records
make_entries(const std::vector<fleet::EntryRecord>& listed) {
    fleet::entry_records entries;
    for (const auto& entry : listed)
        entries[entry.name()] = entry;
    return entries;
}

} // namespace

// ---- Decisions on the list of entries ----

TEST(free_cell, is_claimed_at_once_by_the_entry_of_highest_capacity) {
    const auto high = make_entry("c", 500, 200);
    const auto low = make_entry("a", 120, 20);
    const auto entries = make_entries({high, low});
    EXPECT_EQ(fleet::claim_delay(entries, high), duration{0});
    EXPECT_GT(fleet::claim_delay(entries, low), duration{0});
}

TEST(free_cell, is_left_to_the_first_of_equal_entries) {
    const auto first = make_entry("a", 500, 200);
    const auto second = make_entry("b", 500, 200);
    const auto entries = make_entries({first, second});
    EXPECT_EQ(fleet::claim_rank(entries, first), 0);
    EXPECT_EQ(fleet::claim_rank(entries, second), 1);
}

TEST(leader_capacity, is_the_lower_of_processor_and_link_capacity) {
    EXPECT_GT(fleet::leader_capacity(make_entry("a", 250, 1000)),
              fleet::leader_capacity(make_entry("b", 500, 10)));
}

TEST(owner, hands_over_only_to_an_entry_of_much_higher_capacity) {
    const auto self = make_entry("a", 250, 200);
    EXPECT_FALSE(fleet::should_hand_over(
        make_entries({self, make_entry("b", 300, 200)}), self));
    EXPECT_TRUE(fleet::should_hand_over(
        make_entries({self, make_entry("b", 500, 200)}), self));
}

// ---- Claims ----

namespace {

/// An entry that claims a free cell at once.
struct claiming_entry {
    simulation sim;
    virtual_store store{sim};
    virtual_process process{"entry", sim.now, sim.log};
    std::unique_ptr<fleet::store> client =
        store.client("entry", process.liveness());
    int losses = 0;
    fleet::leadership leadership{process.runtime,
                                 *client,
                                 make_entry("a", 500, 200),
                                 {[](std::int64_t) {}, [this] { ++losses; },
                                  [] { return std::optional{duration{0}}; }}};

    claiming_entry() {
        sim.add(&process);
        leadership.start();
        sim.run_for(duration{50});
    }
};

} // namespace

// A claim was carried out under a lease that has ended since. The renewals of
// the next lease kept an ownership alive that the store had already removed.
TEST(claim, under_a_lease_that_has_ended_makes_no_owner) {
    claiming_entry entry;
    // The claim takes effect, and the entry does not learn of it in time.
    entry.store.fault = store_fault::lost_replies;
    entry.leadership.on_owner_changed({}, 0, 1);
    entry.sim.run_for(duration{50});
    const auto claimed = entry.store.get(std::string(fleet::owner_key));
    ASSERT_TRUE(claimed);
    entry.store.fault = store_fault::unresponsive;
    entry.sim.run_for(duration{2500});
    entry.store.fault = store_fault::none;
    entry.leadership.on_owner_changed(make_entry("b", 500, 200),
                                      claimed->revision - 1,
                                      claimed->revision - 1);
    entry.sim.run_for(duration{1500});
    fleet::EntryRecord record;
    record.ParseFromString(claimed->value);
    entry.leadership.on_owner_changed(record, claimed->revision,
                                      claimed->revision);
    EXPECT_EQ(entry.leadership.epoch(), 0);
}

// A watch that had been answered before the claim told the new owner that there
// was none. It gave the cell up and gained it again under the same epoch.
TEST(claim, is_not_undone_by_an_older_state_of_the_store) {
    claiming_entry entry;
    entry.leadership.on_owner_changed({}, 0, 1);
    entry.sim.run_for(duration{50});
    const auto epoch = entry.leadership.epoch();
    ASSERT_NE(epoch, 0);
    entry.leadership.on_owner_changed({}, 0, epoch - 1);
    EXPECT_EQ(entry.leadership.epoch(), epoch);
    EXPECT_EQ(entry.losses, 0);
    entry.leadership.on_owner_changed({}, 0, epoch + 1);
    EXPECT_EQ(entry.losses, 1);
}

// The reply to a claim arrives after the watch has brought the claim and its
// end.
TEST(claim, whose_reply_comes_after_its_end_makes_no_owner) {
    claiming_entry entry;
    entry.leadership.on_owner_changed({}, 0, 1);
    entry.sim.run_for(duration{50});
    const auto epoch = entry.leadership.epoch();
    ASSERT_NE(epoch, 0);
    const auto claimed = entry.store.get(std::string(fleet::owner_key));
    ASSERT_TRUE(claimed);
    fleet::EntryRecord record;
    record.ParseFromString(claimed->value);
    entry.store.fault = store_fault::unresponsive;
    entry.leadership.on_owner_changed({}, 0, epoch + 5);
    EXPECT_EQ(entry.leadership.epoch(), 0);
    entry.leadership.on_owner_changed(record, epoch, epoch);
    EXPECT_EQ(entry.leadership.epoch(), 0);
}

// ---- In a fleet ----

TEST(owner_of_low_capacity, hands_over_to_a_better_entry_without_a_long_pause) {
    virtual_fleet fleet;
    fleet.millicores = {{1, 120}, {2, 120}, {3, 500}};
    for (int n = 1; n <= 3; ++n)
        fleet.kill_entry(n);
    fleet.start_entry(1);
    fleet.start_entry(2);
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.owner_entry() != 0; },
                                    duration{4000}));
    fleet.submit(make_job("000000000000000a", "ms=6000", 6, {8'000, 16'000, 1}),
                 fleet.owner_entry());
    fleet.sim.run_until([&] { return fleet.history.starts == 6; },
                        duration{3000});
    fleet.start_entry(3);
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.owner_entry() == 0; },
                                    duration{5000}));
    EXPECT_TRUE(fleet.sim.run_until([&] { return fleet.owner_entry() == 3; },
                                    duration{300}));
    EXPECT_TRUE(fleet.wait_for_state("000000000000000a", fleet::JOB_COMPLETED,
                                     duration{9000}, 3));
    EXPECT_EQ(fleet.history.starts, 6);
    EXPECT_TRUE(fleet.history.violations.empty());
}

TEST(entry_of_low_capacity, leads_if_no_better_one_is_left) {
    virtual_fleet fleet;
    fleet.millicores = {{1, 500}, {2, 120}, {3, 120}};
    for (int n = 1; n <= 3; ++n)
        fleet.kill_entry(n);
    for (int n = 1; n <= 3; ++n)
        fleet.start_entry(n);
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.owner_entry() == 1; },
                                    duration{5000}));
    fleet.kill_entry(1);
    EXPECT_TRUE(fleet.sim.run_until([&] { return fleet.owner_entry() != 0; },
                                    duration{2500}));
}

// The write that releases the cell may take effect seconds later. The entry
// must not lead again under its earlier epoch.
TEST(handover, with_a_lost_reply_leaves_one_owner) {
    virtual_fleet fleet;
    fleet.millicores = {{1, 120}, {2, 500}, {3, 500}};
    for (int n = 1; n <= 3; ++n)
        fleet.kill_entry(n);
    fleet.start_entry(1);
    ASSERT_TRUE(fleet.sim.run_until([&] { return fleet.owner_entry() == 1; },
                                    duration{4000}));
    fleet.store.client_faults["entry-1"] = store_fault::delayed_writes;
    fleet.start_entry(2);
    fleet.start_entry(3);
    bool regained = false;
    bool handed_over = false;
    fleet.sim.run_until(
        [&] {
            handed_over = handed_over || fleet.owner_entry() != 1;
            regained = regained || (handed_over && fleet.owner_entry() == 1);
            return false;
        },
        duration{8000});
    EXPECT_TRUE(handed_over);
    EXPECT_FALSE(regained);
    EXPECT_NE(fleet.owner_entry(), 0);
}

} // namespace celerylift::test
