// Reads that one entry makes for another one. A reply of a megabyte took longer
// on a narrow link than a silent connection is kept, and never arrived.
#include "virtual_store.hpp"

#include <celerylift/fleet/store_calls.hpp>

#include <gtest/gtest.h>

#include <fmt/format.h>
#include <set>

namespace celerylift::test {

namespace {

constexpr int keys = 18; // Fit on one page of the store.
constexpr std::size_t value_bytes = 40'000;
constexpr std::size_t max_reply_bytes = 256'000;
constexpr std::int64_t timeout_ms = 1000;

struct relayed_reads {
    simulation sim;
    virtual_store store{sim};
    virtual_process process{"entry", sim.now, sim.log};
    std::unique_ptr<fleet::store> client =
        store.client("entry", process.liveness());
    std::set<std::string> read;
    std::int64_t last_revision = 0;

    relayed_reads() {
        sim.add(&process);
        // Two keys change with each revision.
        for (int n = 0; n < keys; n += 2) {
            fleet::store_transaction write;
            for (int i = n; i < n + 2; ++i)
                write.puts.push_back({fmt::format("cl/job/{:02}", i),
                                      std::string(value_bytes, 'x'), 0});
            last_revision = store.transact(write).revision;
        }
    }

    fleet::StoreReply make(fleet::StoreCall call) {
        fleet::StoreReply result;
        call.set_timeout_ms(timeout_ms);
        fleet::execute_call(*client, call, [&](const fleet::StoreReply& reply) {
            result = reply;
        });
        sim.run_for(duration{100});
        EXPECT_EQ(result.status(), fleet::STORE_OK);
        EXPECT_LE(result.ByteSizeLong(), max_reply_bytes);
        EXPECT_GT(result.items_size(), 0);
        for (const auto& item : result.items())
            EXPECT_TRUE(read.insert(item.key()).second) << item.key();
        return result;
    }
};

} // namespace

TEST(relayed_page, is_cut_where_it_is_long_and_goes_on_after_its_last_key) {
    relayed_reads fixture;
    fleet::StoreCall call;
    call.mutable_range()->set_prefix("cl/job/");
    bool has_more = true;
    int pages = 0;
    for (; has_more && pages < keys; ++pages) {
        const auto reply = fixture.make(call);
        has_more = reply.has_more();
        call.mutable_range()->set_after(
            reply.items(reply.items_size() - 1).key());
    }
    EXPECT_GT(pages, 1);
    EXPECT_EQ(fixture.read.size(), static_cast<std::size_t>(keys));
}

TEST(relayed_watch, is_cut_between_revisions_and_goes_on_after_the_last_one) {
    relayed_reads fixture;
    fleet::StoreCall call;
    call.mutable_watch()->set_prefix("cl/job/");
    call.mutable_watch()->set_wait_ms(1);
    std::int64_t as_of = 0;
    int replies = 0;
    for (; as_of < fixture.last_revision && replies < keys; ++replies) {
        call.mutable_watch()->set_after(as_of);
        const auto reply = fixture.make(call);
        as_of = reply.as_of();
        EXPECT_EQ(reply.items_size() % 2, 0) << "a revision was divided";
    }
    EXPECT_GT(replies, 1);
    EXPECT_EQ(fixture.read.size(), static_cast<std::size_t>(keys));
}

} // namespace celerylift::test
