// No job may run that each of its attempts was told had been rejected, whatever
// becomes of the store's replies, of the relays and of the entries.
#include "virtual_fleet.hpp"

#include <celerylift/fleet/names.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <random>

namespace celerylift::test {

namespace {

constexpr fleet::resources small{8'000, 16'000, 1};
constexpr int seeds = 60;
constexpr int jobs = 30;
constexpr int entries = 3;

/// The answers to the attempts of one job, and how many were sent.
struct attempts {
    int sent = 0;
    std::vector<fleet::answer_kind> answers;
};

bool is_rejection(fleet::answer_kind kind) {
    return kind == fleet::answer_kind::not_run ||
           kind == fleet::answer_kind::unavailable;
}

class faulty_fleet {
public:
    explicit faulty_fleet(unsigned seed) : random_(seed) {}

    /// Returns how many jobs ran though all their attempts were rejected.
    int play() {
        for (int n = 0; n < jobs; ++n) {
            disturb();
            const auto id = fmt::format("{:016x}", n + 1);
            const int count = 1 + pick(2);
            for (int i = 0; i < count; ++i)
                send(id);
            fleet_.sim.run_for(duration{20 + pick(250)});
        }
        fleet_.sim.run_for(duration{4000});
        heal();
        fleet_.sim.run_for(duration{12'000});
        int broken = 0;
        for (const auto& [id, job] : sent_) {
            const bool rejected =
                static_cast<int>(job.answers.size()) == job.sent &&
                std::ranges::all_of(job.answers, is_rejection);
            rejected_ += rejected ? 1 : 0;
            const auto task = fleet::to_string({id, 0, 0, 0});
            broken +=
                rejected && fleet_.history.starts_by_task[task] > 0 ? 1 : 0;
        }
        return broken;
    }

    int rejected() const { return rejected_; }

private:
    int pick(int count) {
        return std::uniform_int_distribution<>{0, count - 1}(random_);
    }

    void disturb() {
        const int n = 1 + pick(entries);
        constexpr store_fault faults[] = {
            store_fault::none,         store_fault::none,
            store_fault::unresponsive, store_fault::busy,
            store_fault::lost_replies, store_fault::delayed_writes};
        switch (pick(4)) {
        case 0:
        case 1:
            fleet_.store.client_faults[fmt::format("entry-{}", n)] =
                faults[pick(6)];
            break;
        case 2:
            if (fleet_.has_entry(n) && !stopping_[n]) {
                stopping_[n] = true;
                fleet_.entry(n).stop(fleet_.sim.now + duration{600});
                fleet_.sim.after(duration{650}, [this, n] {
                    fleet_.kill_entry(n);
                    fleet_.start_entry(n);
                    stopping_[n] = false;
                });
            }
            break;
        default:
            fleet_.store.fault =
                pick(4) == 0 ? faults[pick(6)] : store_fault::none;
        }
    }

    void heal() {
        fleet_.store.fault = store_fault::none;
        fleet_.store.client_faults.clear();
    }

    void send(const std::string& id) {
        const int n = 1 + pick(entries);
        if (!fleet_.has_entry(n))
            return;
        auto& job = sent_[id];
        ++job.sent;
        fleet::submit(
            fleet_.entry(n).api(),
            {"host", "/normal/" + id, "kwela-key",
             fleet_.sim.now + duration{200 + pick(2800)}},
            make_job(id, "ms=100", 1, small),
            [&job](const fleet::answer& a) { job.answers.push_back(a.kind); });
    }

    std::minstd_rand random_;
    virtual_fleet fleet_;
    std::map<std::string, attempts> sent_;
    std::map<int, bool> stopping_;
    int rejected_ = 0;
};

} // namespace

TEST(rejected_jobs, never_run) {
    int rejected = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        faulty_fleet fleet(seed);
        EXPECT_EQ(fleet.play(), 0) << "seed " << seed;
        rejected += fleet.rejected();
    }
    EXPECT_GT(rejected, 0) << "nothing was rejected, so nothing was tested";
    fmt::print("{} jobs rejected in {} plays\n", rejected, seeds);
}

} // namespace celerylift::test
