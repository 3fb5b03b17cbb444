// Tests requests from submission to answer, in virtual time.
#include "virtual/requests.hpp"
#include "virtual/virtual_cell.hpp"

#include <gtest/gtest.h>

namespace celerylift::fakes {

namespace {

/// Fixture: a cell with an active owner and two organisations.
class a_cell_at_work : public ::testing::Test {
protected:
    void SetUp() override {
        ASSERT_TRUE(cell.run_until([&] { return !cell.owner().empty(); }));
        ASSERT_TRUE(cell.run_until(
            [&] { return cell.owner_state()->cell.workers.size() == 6; }));
        const auto kwela = cell.ask(
            "entry-1", put_organisation("kwela", 1, shape(3, 8, api::RACK)));
        ASSERT_EQ(kwela.error().message(), "");
        const auto sump = cell.ask(
            "entry-2", put_organisation("sump", 2, shape(1, 8, api::WORKER)));
        ASSERT_EQ(sump.error().message(), "");
    }

    api::JobStatus outcome(const std::string& id,
                           const std::string& entry = "entry-1") {
        return cell.ask(entry, wait_for(id, duration{30'000})).job();
    }

    int busy_workers() {
        int busy = 0;
        for (const auto& agent : cell.agents())
            busy += cell.worker(agent).in_use() > 0 ? 1 : 0;
        return busy;
    }

    virtual_cell cell;
};

// ---- Requests to backend servers ----
class a_quote : public a_cell_at_work {};

TEST_F(a_quote, is_answered_whole_and_executed_once) {
    const auto spec = quote("q-1", "kwela", true);
    const auto accepted = cell.ask("entry-2", submit(spec));
    ASSERT_EQ(accepted.error().message(), "");
    EXPECT_TRUE(accepted.job().durable());
    const auto status = outcome("q-1");
    EXPECT_EQ(status.state(), api::ANSWERED);
    EXPECT_EQ(status.answer(), answer_for("q-1", spec.payload()));
    EXPECT_EQ(cell.executions("q-1"), 1);
}

TEST_F(a_quote, has_the_same_answer_at_every_entry) {
    cell.ask("entry-1", submit(quote("q-1", "kwela", true)));
    const auto first = outcome("q-1", "entry-1");
    EXPECT_EQ(outcome("q-1", "entry-2").SerializeAsString(),
              first.SerializeAsString());
    const auto again = cell.ask("entry-3", submit(quote("q-1", "kwela", true)));
    EXPECT_EQ(again.job().answer(), first.answer());
    EXPECT_EQ(cell.executions("q-1"), 1);
}

TEST_F(a_quote, under_an_id_that_is_taken_is_refused) {
    cell.ask("entry-1", submit(quote("q-1", "kwela", true)));
    const auto other = cell.ask("entry-1", submit(quote("q-1", "sump", true)));
    EXPECT_EQ(other.error().kind(), api::INVALID_ARGUMENT);
    EXPECT_EQ(other.error().ran(), api::NOT_RUN);
}

// ---- Gangs ----
class a_gang : public a_cell_at_work {};

TEST_F(a_gang, of_three_workers_starts_on_all_of_them) {
    cell.ask("entry-1",
             submit(gang_job("g-1", "kwela", shape(3, 8, api::RACK), 3000)));
    ASSERT_TRUE(
        cell.run_until([&] { return busy_workers() == 3; }, duration{5000}));
    const auto status = outcome("g-1");
    EXPECT_EQ(status.state(), api::ANSWERED);
    EXPECT_EQ(status.members_size(), 3);
    EXPECT_TRUE(cell.run_until([&] { return busy_workers() == 0; }));
}

TEST_F(a_gang, starts_on_none_when_one_refuses) {
    // The third worker of each rack has accelerators in use that the owner
    // does not know of, so it refuses the reservation.
    for (const auto* agent : {"agent-3", "agent-6"}) {
        auto& members =
            const_cast<protocol::agent_state&>(cell.agent(agent)).members;
        auto& m = members[99];
        m.report.set_gang(99);
        m.report.set_state(wire::RESERVED);
        m.report.set_accelerators(1);
        m.lease_until = cell.now() + duration{500};
    }
    cell.ask("entry-1",
             submit(gang_job("g-1", "kwela", shape(3, 8, api::RACK), 1000)));
    cell.run_for(duration{100});
    EXPECT_EQ(busy_workers(), 0);
    EXPECT_EQ(outcome("g-1").state(), api::ANSWERED);
    for (const auto& agent : cell.agents())
        EXPECT_LE(cell.worker(agent).history().size(), 1u);
}

TEST_F(a_gang, that_can_never_fit_is_refused_at_once) {
    const auto reply = cell.ask(
        "entry-1",
        submit(gang_job("g-1", "kwela", shape(4, 8, api::RACK), 1000)));
    EXPECT_EQ(reply.error().kind(), api::INFEASIBLE);
    EXPECT_NE(reply.error().message().find("the most is 3 members"),
              std::string::npos);
}

TEST_F(a_gang, of_a_guarantee_reclaims_what_others_borrow) {
    for (int i = 0; i < 6; ++i)
        cell.ask("entry-1",
                 submit(gang_job("b-" + std::to_string(i), "sump",
                                 shape(1, 8, api::WORKER), 600'000)));
    ASSERT_TRUE(cell.run_until([&] { return busy_workers() == 6; }));
    cell.ask("entry-1",
             submit(gang_job("g-1", "kwela", shape(3, 8, api::RACK), 1000)));
    const auto status = outcome("g-1");
    EXPECT_EQ(status.state(), api::ANSWERED);
}

TEST_F(a_gang, that_is_cancelled_frees_its_workers) {
    cell.ask("entry-1",
             submit(gang_job("g-1", "kwela", shape(3, 8, api::RACK), 600'000)));
    ASSERT_TRUE(cell.run_until([&] { return busy_workers() == 3; }));
    const auto reply = cell.ask("entry-2", cancel("g-1"));
    EXPECT_EQ(reply.job().state(), api::JOB_CANCELLED);
    EXPECT_EQ(reply.job().error().ran(), api::RAN);
    EXPECT_TRUE(
        cell.run_until([&] { return busy_workers() == 0; }, duration{2000}));
}

// ---- Loss of the owner ----
class a_lost_owner : public a_cell_at_work {
protected:
    std::string another_entry() const {
        for (const auto& e : cell.entries()) {
            if (cell.is_up(e) && e != cell.owner())
                return e;
        }
        return {};
    }
};

TEST_F(a_lost_owner, is_followed_by_another_that_keeps_running_gangs) {
    const auto first = cell.owner();
    cell.ask("entry-1",
             submit(gang_job("g-1", "kwela", shape(3, 8, api::RACK), 20'000)));
    ASSERT_TRUE(cell.run_until([&] { return busy_workers() == 3; }));
    cell.kill(first);
    ASSERT_TRUE(cell.run_until([&] { return !cell.owner().empty(); }));
    EXPECT_NE(cell.owner(), first);
    const auto status = outcome("g-1", another_entry());
    EXPECT_EQ(status.state(), api::ANSWERED);
    EXPECT_EQ(status.attempts(), 1);
}

TEST_F(a_lost_owner, loses_no_accepted_request_and_repeats_none) {
    for (int i = 0; i < 20; ++i)
        cell.ask("entry-1", submit(quote("q-" + std::to_string(i), "kwela",
                                         i % 2 == 0, 500)));
    cell.kill(cell.owner());
    const auto entry = another_entry();
    for (int i = 0; i < 20; ++i) {
        const auto id = "q-" + std::to_string(i);
        EXPECT_EQ(outcome(id, entry).state(), api::ANSWERED) << id;
        if (i % 2 == 0) {
            EXPECT_EQ(cell.executions(id), 1) << id;
        }
    }
}

TEST_F(a_lost_owner, that_leaves_is_followed_within_200_ms) {
    constexpr duration owner_less_bound{200};
    const auto first = cell.owner();
    cell.leave(first);
    ASSERT_TRUE(cell.run_until([&] { return cell.owner().empty(); }));
    const auto left = cell.now();
    ASSERT_TRUE(cell.run_until(
        [&] { return !cell.owner().empty() && cell.owner() != first; }));
    EXPECT_LE((cell.now() - left).count(), owner_less_bound.count());
    EXPECT_EQ(cell.owner_state()->cell.workers.size(), 6u);
}

TEST_F(a_lost_owner, hands_over_before_it_leaves) {
    const auto first = cell.owner();
    cell.ask("entry-1", submit(quote("q-1", "kwela", true, 3000)));
    cell.leave(first);
    ASSERT_TRUE(cell.run_until([&] { return !cell.is_up(first); }));
    ASSERT_TRUE(cell.run_until([&] { return !cell.owner().empty(); }));
    EXPECT_EQ(outcome("q-1", another_entry()).state(), api::ANSWERED);
    EXPECT_EQ(cell.executions("q-1"), 1);
}

} // namespace

} // namespace celerylift::fakes
