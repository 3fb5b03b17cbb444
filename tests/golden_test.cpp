// Compares complete sessions event by event with the records in
// tests/golden/. CELERYLIFT_WRITE_GOLDEN=1 rewrites the records; review the
// difference like any other change.
#include "virtual/requests.hpp"
#include "virtual/virtual_cell.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace celerylift::fakes {

namespace {

std::string text_of(const std::vector<base::event>& events) {
    std::string text;
    for (const auto& e : events)
        text += fmt::format("{} {} {} {} {} {}\n", e.wall_ms, e.clock,
                            e.process, e.kind, e.subject, e.detail);
    return text;
}

void compare(const std::string& name, const std::string& seen) {
    const std::string file = std::string(CELERYLIFT_GOLDEN_FOLDER) + "/" + name;
    if (std::getenv("CELERYLIFT_WRITE_GOLDEN"))
        std::ofstream(file) << seen;
    std::ifstream in(file);
    ASSERT_TRUE(in) << file << " is missing";
    std::ostringstream expected;
    expected << in.rdbuf();
    EXPECT_EQ(seen, expected.str());
}

virtual_cell& with_organisations(virtual_cell& cell) {
    cell.run_until([&] {
        return !cell.owner().empty() &&
               cell.owner_state()->cell.workers.size() == 6;
    });
    cell.ask("entry-1", put_organisation("kwela", 1, shape(3, 8, api::RACK)));
    cell.ask("entry-2", put_organisation("sump", 2, shape(1, 8, api::WORKER)));
    return cell;
}

void await(virtual_cell& cell, const std::string& entry,
           const std::string& id) {
    const auto reply = cell.ask(entry, wait_for(id, duration{30'000}));
    EXPECT_EQ(reply.job().state(), api::ANSWERED) << id;
}

TEST(a_session, of_gangs_and_quotes_is_as_on_record) {
    virtual_cell cell;
    with_organisations(cell);
    cell.ask("entry-1", submit(gang_job("cake-design", "kwela",
                                        shape(3, 8, api::RACK), 700)));
    cell.ask("entry-2", submit(quote("quote", "kwela", true, 40)));
    cell.ask("entry-3", submit(gang_job("pump-log", "sump",
                                        shape(1, 8, api::WORKER), 500)));
    await(cell, "entry-1", "quote");
    await(cell, "entry-2", "cake-design");
    await(cell, "entry-3", "pump-log");
    compare("gangs_and_quotes.txt", text_of(cell.time_line()));
}

TEST(a_session, in_which_the_owner_dies_is_as_on_record) {
    virtual_cell cell;
    with_organisations(cell);
    cell.ask("entry-1", submit(gang_job("cake-design", "kwela",
                                        shape(3, 8, api::RACK), 9000)));
    cell.ask("entry-2", submit(quote("quote", "kwela", true, 2000)));
    cell.run_for(duration{500});
    cell.kill(cell.owner());
    await(cell, "entry-2", "quote");
    await(cell, "entry-3", "cake-design");
    EXPECT_EQ(cell.executions("quote"), 1);
    compare("owner_dies.txt", text_of(cell.time_line()));
}

TEST(a_session, during_a_store_outage_is_as_on_record) {
    virtual_cell cell;
    with_organisations(cell);
    cell.set_store_fault(store_fault::down);
    cell.run_for(duration{3000});
    const auto refused =
        cell.ask("entry-1", submit(quote("once", "kwela", true)));
    EXPECT_EQ(refused.error().ran(), api::NOT_RUN);
    EXPECT_EQ(refused.error().kind(), api::UNAVAILABLE);
    const auto kept =
        cell.ask("entry-2", submit(quote("again", "kwela", false)));
    EXPECT_FALSE(kept.job().durable());
    await(cell, "entry-2", "again");
    cell.set_store_fault(store_fault::none);
    cell.run_for(duration{6000});
    EXPECT_TRUE(cell.ask("entry-3", get("again")).job().durable());
    compare("store_outage.txt", text_of(cell.time_line()));
}

// ---- Explanations of failures ----

/// The reply of `explain` for a gang during which `fault` occurs.
api::Explanation account_of(void (*fault)(virtual_cell&), int run_ms,
                            bool in_queue = false) {
    virtual_cell cell;
    with_organisations(cell);
    if (in_queue) {
        for (int i = 0; i < 2; ++i)
            cell.ask("entry-1",
                     submit(gang_job("first-" + std::to_string(i), "kwela",
                                     shape(3, 8, api::RACK), 8000)));
    }
    const auto call = cell.call(
        "entry-1",
        submit(gang_job("job", "kwela", shape(3, 8, api::RACK), run_ms)));
    cell.run_for(duration{400});
    fault(cell);
    cell.run_until([&] { return cell.reply_to(call).has_value(); });
    cell.ask("entry-1", wait_for("job", duration{30'000}));
    return cell.ask("entry-1", explain("job")).explanation();
}

TEST(an_account, blames_the_network_only_for_a_link_that_lost_messages) {
    const auto cut_link = [](virtual_cell& cell) {
        for (const auto& entry : cell.entries())
            cell.cut("agent-1", entry);
        cell.run_for(duration{1600});
        cell.heal();
    };
    const auto account = account_of(cut_link, 6000);
    EXPECT_EQ(account.verdict(), "network") << account.evidence();
    EXPECT_FALSE(account.network_cleared());
}

TEST(an_account, clears_the_network_when_an_agent_was_frozen) {
    const auto freeze = [](virtual_cell& cell) {
        cell.pause("agent-1");
        cell.run_for(duration{4000});
        cell.resume("agent-1");
    };
    const auto account = account_of(freeze, 6000);
    EXPECT_TRUE(account.network_cleared()) << account.evidence();
    EXPECT_EQ(account.verdict(), "worker") << account.evidence();
}

TEST(an_account, names_the_worker_that_fails) {
    const auto fail = [](virtual_cell& cell) { cell.kill("agent-1"); };
    const auto account = account_of(fail, 3000);
    EXPECT_TRUE(account.network_cleared());
    EXPECT_EQ(account.verdict(), "worker") << account.evidence();
}

TEST(an_account, names_the_queue) {
    const auto nothing = [](virtual_cell&) {};
    const auto account = account_of(nothing, 200, true);
    EXPECT_TRUE(account.network_cleared());
    EXPECT_EQ(account.verdict(), "queue") << account.evidence();
}

} // namespace

} // namespace celerylift::fakes
