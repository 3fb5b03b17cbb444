// Measures the owner's time for one report in a fully loaded fleet, including
// the scheduling pass over the waiting work, and for computing the load of the
// cell, for several fleet sizes.
#include "owner_fixture.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fmt/format.h>
#include <vector>

namespace {

using namespace celerylift;

constexpr int reports = 300;
constexpr int ticks = 100;
constexpr int tasks_in_gang = 13;
constexpr fleet::resources large{52'000, 270'000, 4};
constexpr fleet::resources small{11'000, 46'000, 1};

std::string id_of(int n) {
    return fmt::format("{:016x}", n);
}

/// Fills every server and leaves about `waiting_tasks` tasks waiting.
void load(test::owner_fixture& fixture, int servers, int waiting_tasks) {
    int next = 0;
    const int wanted = servers * 8 + waiting_tasks;
    for (int tasks = 0; tasks < wanted; tasks += 2 * tasks_in_gang) {
        fixture.add_job(id_of(next++), "normal", tasks_in_gang, small, false);
        fixture.add_job(id_of(next++), "normal", tasks_in_gang, large, true);
        fixture.run_for(std::chrono::milliseconds{8});
        if (next % 20 == 0)
            fixture.report_all();
    }
    fixture.run_for(std::chrono::milliseconds{300});
    fixture.report_all();
    fixture.run_for(std::chrono::milliseconds{300});
}

double time_tick_us(test::owner_fixture& fixture) {
    const auto begin = std::chrono::steady_clock::now();
    on_tick(fixture.owner);
    const std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - begin;
    return took.count();
}

/// How much longer a tick takes in which the load of the cell is computed.
std::vector<double> measure_load(test::owner_fixture& fixture) {
    fixture.owner.on_load = [](const fleet::cell_load&) {};
    std::vector<double> took_us;
    for (int n = 0; n < ticks; ++n) {
        fixture.report_all();
        fixture.run_for(fleet::load_period);
        const auto with_load = time_tick_us(fixture);
        took_us.push_back(with_load - time_tick_us(fixture));
    }
    std::ranges::sort(took_us);
    return took_us;
}

void measure(int servers, int waiting_tasks) {
    test::owner_fixture fixture(servers);
    load(fixture, servers, waiting_tasks);
    std::vector<double> took_us;
    for (int n = 0; n < reports; ++n) {
        const auto begin = std::chrono::steady_clock::now();
        fixture.report(n % servers);
        fixture.run_for(std::chrono::milliseconds{3});
        const std::chrono::duration<double, std::micro> took =
            std::chrono::steady_clock::now() - begin;
        took_us.push_back(took.count());
        if (n % 50 == 49)
            fixture.report_all();
    }
    std::ranges::sort(took_us);
    const auto load_us = measure_load(fixture);
    fmt::print("| {} | {} | {} | {:.0f} | {:.0f} | {:.0f} | {:.0f} |\n",
               servers, fixture.assigned_tasks(), waiting_tasks,
               took_us[reports / 2], took_us[reports * 99 / 100],
               load_us[ticks / 2], load_us[ticks * 99 / 100]);
}

} // namespace

int main() {
    fmt::print(
        "| servers | running | waiting | report, us p50 | p99 | load, us "
        "p50 | p99 |\n");
    fmt::print("|---|---|---|---|---|---|---|\n");
    measure(160, 200);
    measure(160, 2000);
    measure(1600, 2000);
}
