// Compares the registered placement policies in several scenarios and measures
// the cost of a decision for several cell sizes.
#include "replay.hpp"

#include <celerylift/kernel/policy.hpp>
#include <celerylift/kernel/queue.hpp>
#include <celerylift/kernel/schedule.hpp>

#include <docopt/docopt.h>
#include <fmt/format.h>
#include <malloc.h>

#include <chrono>
#include <random>

namespace celerylift::bench {

namespace {

constexpr const char* usage =
    R"(policy_bench: measures scheduling policies in virtual time.

Usage:
  policy_bench table [--seed=N] [--hours=N] [--scenario=NAME]
  policy_bench replay FILE [--workers=N]
  policy_bench cost

Options:
  --seed=N         Seed of the generated arrivals [default: 1].
  --hours=N        Duration of the arrivals [default: 12].
  --scenario=NAME  Run only this scenario.
  --workers=N      Number of workers in the cell [default: 63].
)";

constexpr duration hour{3'600'000};
constexpr int cell_workers = 63;
constexpr int worker_accelerators = 8;

/// A workload and the incidents that disturb it.
struct scenario {
    std::string name;
    double load = 0.9;
    double declaration_error = 1;
    void (*prepare)(std::vector<arrival>&, std::vector<incident>&,
                    duration length) = nullptr;
};

void add_burst(std::vector<arrival>& arrivals, duration at, int count,
               kernel::gang_shape shape, kernel::urgency urgency,
               duration run) {
    for (int i = 0; i < count; ++i) {
        arrival added;
        added.at = at;
        added.actual_run = run;
        added.job.id = fmt::format("burst-{}-{}", at.count(), i);
        added.job.organisation = fmt::format("org-{}", i % 4);
        added.job.urgency = urgency;
        added.job.shape = shape;
        added.job.declared_run = run;
        arrivals.push_back(std::move(added));
    }
    std::stable_sort(
        arrivals.begin(), arrivals.end(),
        [](const arrival& a, const arrival& b) { return a.at < b.at; });
}

void burst_of_small(std::vector<arrival>& arrivals, std::vector<incident>&,
                    duration length) {
    for (int i = 1; i <= 4; ++i)
        add_burst(arrivals, length * i / 5, 200,
                  {1, 1, kernel::adjacency::worker}, kernel::urgency::urgent,
                  duration{30'000});
}

void burst_of_large(std::vector<arrival>& arrivals, std::vector<incident>&,
                    duration length) {
    for (int i = 1; i <= 4; ++i)
        add_burst(arrivals, length * i / 5, 12, {3, 8, kernel::adjacency::rack},
                  kernel::urgency::batch, duration{600'000});
}

void bad_workers(std::vector<arrival>&, std::vector<incident>& incidents,
                 duration) {
    incidents.push_back({duration{0}, [](replay& state) {
                             for (int w = 0; w < cell_workers; w += 10)
                                 state.bad_workers.insert(w);
                         }});
}

void cancellation_wave(std::vector<arrival>& arrivals,
                       std::vector<incident>& incidents, duration length) {
    add_burst(arrivals, length / 2, 2000, {1, 2, kernel::adjacency::worker},
              kernel::urgency::batch, duration{600'000});
    incidents.push_back({length / 2 + duration{60'000}, cancel_waiting});
}

void domain_loss(std::vector<arrival>&, std::vector<incident>& incidents,
                 duration length) {
    incidents.push_back({length / 2, [](replay& state) {
                             set_domain_usable(state, 0, false);
                         }});
    incidents.push_back({length / 2 + hour, [](replay& state) {
                             set_domain_usable(state, 0, true);
                         }});
}

void reclaim_storm(std::vector<arrival>& arrivals, std::vector<incident>&,
                   duration length) {
    // All organisations request all racks of their guarantees at once.
    for (int i = 1; i <= 4; ++i)
        add_burst(arrivals, length * i / 5, 4, {3, 8, kernel::adjacency::rack},
                  kernel::urgency::urgent, duration{300'000});
}

const std::vector<scenario>& all_scenarios() {
    static const std::vector<scenario> scenarios{
        {"steady", 0.9, 1, nullptr},
        {"overload", 1.1, 1, nullptr},
        {"burst-small", 0.9, 1, burst_of_small},
        {"burst-large", 0.85, 1, burst_of_large},
        {"wrong-declarations", 0.9, 10, nullptr},
        {"bad-workers", 0.75, 1, bad_workers},
        {"cancellation-wave", 0.9, 1, cancellation_wave},
        {"domain-loss", 0.7, 1, domain_loss},
        {"reclaim-storm", 0.85, 1, reclaim_storm},
    };
    return scenarios;
}

struct policy_row {
    std::string label;
    std::string policy;
    int weight = 0;
};

const std::vector<policy_row>& all_policies() {
    static const std::vector<policy_row> rows{
        {"first_fit", "first_fit", 50},
        {"shape_aware/0", "shape_aware", 0},
        {"shape_aware/100", "shape_aware", 100},
    };
    return rows;
}

void print_header() {
    fmt::print("| mix | scenario | policy | mean s | p50 s | p99 s | urgent "
               "mean s | patient mean s | urgent start p99 s | guaranteed "
               "urgent start p99 s | guaranteed start max s | patient wait "
               "max s | fragmentation | stopped | bad-worker failures | "
               "unfinished | decision p99 us |\n");
    fmt::print("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
               "---|---|\n");
}

std::vector<double>
concatenate(const std::array<std::vector<double>, 2>& values) {
    auto all = values[0];
    all.insert(all.end(), values[1].begin(), values[1].end());
    return all;
}

void print_row(const std::string& mix, const std::string& scenario,
               const std::string& policy, const replay& state) {
    const auto all = concatenate(state.completion_s);
    fmt::print(
        "| {} | {} | {} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | {:.1f} | "
        "{:.2f} | {:.2f} | {:.1f} | {:.0f} | {:.3f} | {} | {} | {} | "
        "{:.0f} |\n",
        mix, scenario, policy, mean(all), quantile(all, 0.5),
        quantile(all, 0.99), mean(state.completion_s[1]),
        mean(state.completion_s[0]), quantile(state.wait_s[1], 0.99),
        quantile(state.guaranteed_urgent_wait_s, 0.99),
        quantile(state.guaranteed_wait_s, 1.0), quantile(state.wait_s[0], 1.0),
        state.fragmentation_time / std::max(1.0, state.observed_time),
        state.stopped_gangs, state.failures_on_bad_workers,
        state.unfinished + state.rejected, quantile(state.decision_us, 0.99));
}

void run_row(mix which, const scenario& selected, const policy_row& row,
             std::uint32_t seed, duration length) {
    mix_settings settings;
    settings.mix = which;
    settings.accelerators = cell_workers * worker_accelerators;
    settings.load = selected.load;
    settings.length = length;
    settings.seed = seed;
    settings.declaration_error = selected.declaration_error;
    auto arrivals = generate_arrivals(settings);
    std::vector<incident> incidents;
    if (selected.prepare)
        selected.prepare(arrivals, incidents, length);
    replay state;
    replay_settings cell;
    cell.policy = row.policy;
    cell.fragmentation_weight = row.weight;
    run_replay(state, cell, arrivals, incidents, 48 * hour);
    print_row(which == mix::kwela ? "kwela" : "cwm-sump", selected.name,
              row.label, state);
}

using command_line = std::map<std::string, docopt::value>;

int number_of(const command_line& arguments, const char* key) {
    return std::atoi(arguments.at(key).asString().c_str());
}

int print_table(const command_line& arguments) {
    print_header();
    const auto seed =
        static_cast<std::uint32_t>(number_of(arguments, "--seed"));
    const auto length = number_of(arguments, "--hours") * hour;
    for (const auto which : {mix::kwela, mix::cwm_sump}) {
        for (const auto& s : all_scenarios()) {
            const auto& only = arguments.at("--scenario");
            if (only && only.asString() != s.name)
                continue;
            for (const auto& row : all_policies())
                run_row(which, s, row, seed, length);
        }
    }
    return 0;
}

int replay_file(const command_line& arguments) {
    const auto file = arguments.at("FILE").asString();
    const auto arrivals = read_arrivals(file);
    if (const auto* e = error_of(arrivals)) {
        fmt::print(stderr, "policy_bench: {}\n", e->message);
        return 2;
    }
    print_header();
    for (const auto& row : all_policies()) {
        replay state;
        replay_settings cell;
        cell.policy = row.policy;
        cell.fragmentation_weight = row.weight;
        cell.workers = number_of(arguments, "--workers");
        run_replay(state, cell, std::get<std::vector<arrival>>(arrivals), {},
                   48 * hour);
        print_row("file", file, row.label, state);
    }
    return 0;
}

double elapsed_us(std::chrono::steady_clock::time_point begin) {
    return std::chrono::duration<double, std::micro>(
               std::chrono::steady_clock::now() - begin)
        .count();
}

std::size_t heap_bytes() {
    return mallinfo2().uordblks;
}

/// Time in milliseconds to cancel 10,000 waiting jobs.
double cancellation_ms(kernel::cell_state& cell) {
    constexpr int wave = 10'000;
    for (int i = 0; i < wave; ++i) {
        kernel::job job;
        job.id = fmt::format("wave-{}", i);
        job.organisation = fmt::format("org-{}", i % 4);
        job.shape = {1, 8, kernel::adjacency::worker};
        kernel::enqueue(cell, job, time_point{});
    }
    kernel::schedule(cell, time_point{});
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < wave; ++i)
        kernel::remove_waiting(cell, fmt::format("wave-{}", i));
    kernel::schedule(cell, time_point{});
    return elapsed_us(begin) / 1000;
}

/// Fills a cell with small gangs, then replaces them one by one and prints the
/// cost.
void measure_cost(int workers) {
    const auto before = heap_bytes();
    kernel::cell_state cell;
    replay_settings settings;
    settings.workers = workers;
    build_cell(cell, settings);
    // The ratio of 480,000 tasks on 18,000 workers.
    const int tasks = workers * 27;
    std::mt19937 random(7);
    std::vector<double> decision_us;
    std::vector<kernel::gang_id> running;
    time_point now{};
    const auto decide = [&](int number) {
        kernel::job job;
        job.id = fmt::format("job-{}", number);
        job.organisation = fmt::format("org-{}", random() % 4);
        job.urgency = random() % 2 == 0 ? kernel::urgency::urgent
                                        : kernel::urgency::batch;
        const int kind = static_cast<int>(random() % 10);
        job.shape =
            kind < 7   ? kernel::gang_shape{1, 1, kernel::adjacency::worker}
            : kind < 9 ? kernel::gang_shape{1, 2, kernel::adjacency::worker}
                       : kernel::gang_shape{3, 4, kernel::adjacency::rack};
        job.declared_run = duration{600'000};
        kernel::enqueue(cell, job, now);
        const auto begin = std::chrono::steady_clock::now();
        const auto decisions = kernel::schedule(cell, now);
        decision_us.push_back(
            elapsed_us(begin) /
            static_cast<double>(std::max<std::size_t>(1, decisions.size())));
        for (const auto& d : decisions) {
            if (const auto* p = std::get_if<kernel::place_gang>(&d))
                running.push_back(p->gang);
            else
                kernel::end_gang(cell, std::get<kernel::stop_gang>(d).gang,
                                 kernel::gang_end::stopped, now);
        }
    };
    const int churn = 20'000;
    for (int i = 0; i < std::min(tasks, workers * 6) + churn; ++i) {
        now += duration{10};
        if (i >= workers * 6 && !running.empty()) {
            std::swap(running[random() % running.size()], running.back());
            kernel::end_gang(cell, running.back(), kernel::gang_end::completed,
                             now);
            running.pop_back();
        }
        decide(i);
    }
    const double p50 = quantile(decision_us, 0.5);
    const double p99 = quantile(decision_us, 0.99);
    const auto bytes = heap_bytes() - before;
    fmt::print("| {} | {} | {:.1f} | {:.1f} | {:.1f} | {:.2f} |\n", workers,
               cell.gangs.size(), p50, p99, cancellation_ms(cell),
               static_cast<double>(bytes) / (1024 * 1024));
}

int print_cost() {
    fmt::print("| workers | gangs | decision p50 us | decision p99 us | 10,000 "
               "cancellations ms | heap MB |\n|---|---|---|---|---|---|\n");
    for (int workers : {200, 560, 1000, 2000})
        measure_cost(workers);
    return 0;
}

} // namespace

} // namespace celerylift::bench

int main(int argc, char** argv) {
    using namespace celerylift::bench;
    try {
        const auto arguments =
            docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, false);
        if (arguments.at("table").asBool())
            return print_table(arguments);
        if (arguments.at("replay").asBool())
            return replay_file(arguments);
        return print_cost();
    } catch (const docopt::DocoptExitHelp&) {
        fmt::print("{}", usage);
        return 0;
    } catch (const std::exception& e) {
        fmt::print(stderr, "policy_bench: {}\n", e.what());
        return 2;
    }
}
