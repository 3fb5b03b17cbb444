// Injects every fault at every step of requests, ownership changes and
// departures, and prints a table of the results.
#include "checks.hpp"
#include "faults.hpp"
#include "scenario.hpp"

#include <celerylift/mutant.hpp>

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <atomic>
#include <fstream>
#include <mutex>
#include <thread>

namespace celerylift::matrix {

namespace {

constexpr const char* usage =
    R"(fault_matrix: every fault at every step, in virtual time.

Usage:
  fault_matrix [--fault=NAME] [--with=NAME] [--step=NAME] [--trace] [--table=FILE]
  fault_matrix mutants

Options:
  mutants        Show that deliberate faults in the product are caught.
  --fault=NAME   Only this fault.
  --with=NAME    Together with a second fault at the same step.
  --step=NAME    Only this step.
  --trace        Print the time line of each violation.
  --table=FILE   Write the table there as well.
)";

constexpr duration scenario_timeout{150'000};

/// Time without new input before the final checks.
constexpr duration settling{19'000};

/// A step is reached at the first event of `kind` whose subject or detail
/// starts with `begins`.
struct step {
    std::string name;
    scenario in;
    std::string kind;
    std::string begins; // Empty matches every event of the kind.
};

const std::vector<step>& all_steps() {
    static const std::vector<step> steps{
        {"received", scenario::request, "job_ACCEPTED", "once-gang"},
        {"durable-queued", scenario::request, "job_QUEUED", "once-gang"},
        {"lent", scenario::request, "job_RESERVING", "borrower"},
        {"reclaim", scenario::request, "reclaim", ""},
        {"checkpoint-stop", scenario::request, "member_STOPPING", ""},
        {"placed", scenario::request, "job_RESERVING", "once-gang"},
        {"reserved", scenario::request, "member_RESERVED", "once-gang"},
        {"starting", scenario::request, "job_STARTING", "once-gang"},
        {"started", scenario::request, "member_STARTED", "once-gang"},
        {"running", scenario::request, "job_RUNNING", "once-gang"},
        {"task-ended", scenario::request, "member_SUCCEEDED", "once-gang"},
        {"answered", scenario::request, "job_ANSWERED", "once-gang"},
        {"released", scenario::request, "gang_ended", "once-gang"},
        {"request-received", scenario::request, "job_ACCEPTED", "quote-0"},
        {"request-starting", scenario::request, "job_STARTING", "quote-0"},
        {"request-sent", scenario::request, "request_sent", "quote-0"},
        {"request-done", scenario::request, "request_RUN_DONE", "quote-0"},
        {"request-answered", scenario::request, "job_ANSWERED", "quote-0"},
        {"served-gang-started", scenario::request, "member_STARTED",
         "served-gang"},
        {"pair-started", scenario::request, "member_STARTED", "pair"},
        {"configuration-accepted", scenario::request, "configuration",
         "revision 3"},
        {"own", scenario::ownership, "owner_claimed", ""},
        {"load", scenario::ownership, "owner_phase", "loading"},
        {"seal", scenario::ownership, "owner_phase", "sealing"},
        {"collect", scenario::ownership, "owner_phase", "collecting"},
        {"promise", scenario::ownership, "promised", ""},
        {"take-over", scenario::ownership, "owner_phase", "active"},
        {"backend-leaving", scenario::leaving, "backend_leaving", ""},
        {"agent-leaving", scenario::leaving, "agent_leaving", ""},
        {"owner-leaving", scenario::leaving, "entry_leaving", ""},
        {"hand-over", scenario::leaving, "owner_left", ""},
    };
    return steps;
}

bool is_at(const step& s, const base::event& e) {
    return e.kind == s.kind &&
           (e.subject.starts_with(s.begins) || e.detail.starts_with(s.begins));
}

struct matrix_cell {
    const step* at = nullptr;
    std::vector<fault_kind> faults;
    bool reached = false;
    std::vector<std::string> violations;
    std::vector<base::event> time_line;
    std::int64_t begin_ms = 0;
};

void run_cell(matrix_cell& m) {
    auto run = begin_scenario(m.at->in);
    start_workload(*run);
    // Adds an observer to the one of the scenario.
    std::optional<base::event> reached;
    run->set_observer([&](const base::event& e) {
        if (reached || !is_at(*m.at, e))
            return;
        reached = e;
        for (const auto& fault : m.faults)
            fault.inject(*run, e);
    });
    run->cell.run_for(duration{12'000});
    run->cell.run_until([&] { return run->all_ended(); }, scenario_timeout);
    run->cell.run_for(settling);
    m.reached = reached.has_value();
    m.violations = check_all(*run, m.faults);
    if (!m.violations.empty())
        m.time_line = run->cell.time_line();
}

std::string label(const matrix_cell& m) {
    if (!m.reached)
        return "n/a";
    return m.violations.empty() ? "held" : "FAILED";
}

std::string name_of(const std::vector<fault_kind>& faults) {
    std::string name;
    for (const auto& f : faults)
        name += (name.empty() ? "" : "+") + f.name;
    return name;
}

void print_violations(const matrix_cell& m, bool trace) {
    if (m.violations.empty())
        return;
    fmt::print("{} at {}:\n", name_of(m.faults), m.at->name);
    for (const auto& v : m.violations)
        fmt::print("  {}\n", v);
    if (!trace)
        return;
    for (const auto& e : m.time_line)
        fmt::print("    {} {} {:<9} {:<20} {:<14} {}\n", e.wall_ms, e.clock,
                   e.process, e.kind, e.subject, e.detail);
}

std::string table_of(const std::vector<matrix_cell>& cells) {
    std::string table = "| step | fault | result |\n|---|---|---|\n";
    for (const auto& m : cells)
        table += fmt::format(
            "| {} | {} | {} |\n", m.at->name, name_of(m.faults),
            m.reached ? label(m)
                      : "not applicable: the step is not reached in "
                        "this scenario");
    return table;
}

void run_all(std::vector<matrix_cell>& cells) {
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    const auto count = std::max(1U, std::thread::hardware_concurrency());
    for (unsigned t = 0; t < count; ++t) {
        threads.emplace_back([&] {
            for (auto i = next++; i < cells.size(); i = next++)
                run_cell(cells[i]);
        });
    }
    for (auto& t : threads)
        t.join();
}

std::vector<fault_kind> with_second(const fault_kind& first,
                                    const std::string& second) {
    std::vector<fault_kind> faults{first};
    for (const auto& f : all_faults()) {
        if (f.name == second && f.name != first.name)
            faults.push_back(f);
    }
    return faults;
}

/// The matrix cells for one step and one fault. An empty name selects all.
std::vector<matrix_cell> plan_cells(const std::string& only_step,
                                    const std::string& only_fault,
                                    const std::string& second) {
    std::vector<matrix_cell> cells;
    for (const auto& s : all_steps()) {
        for (const auto& f : all_faults()) {
            const bool wanted = (only_step.empty() || only_step == s.name) &&
                                (only_fault.empty() || only_fault == f.name);
            if (!wanted)
                continue;
            matrix_cell m;
            m.at = &s;
            m.faults = with_second(f, second);
            cells.push_back(std::move(m));
        }
    }
    return cells;
}

#ifdef CELERYLIFT_MUTANTS
/// A deliberate defect in the product, the injected fault or pair of faults
/// that exposes it, and a part of the message of the check that must detect
/// it.
struct mutant {
    const char* name;
    const char* expected_violation;
    const char* fault;
    const char* with = "";
};

constexpr mutant all_mutants[] = {
    {"start-without-record", "must not be repeated", "agent-killed"},
    {"cross-answers", "got another answer", "burst"},
    {"answer-twice", "replies", "store-slow"},
    {"keep-partial-gangs", "was partial", "agent-killed"},
    {"deny-runs", "told that it did not", "cancellation-wave"},
    {"forget-outcomes", "must not be repeated", "planned-stop", "store-down"},
    {"obey-late-commands", "must not be repeated", "messages-crossed"},
    {"obey-old-epochs", "must not be repeated", "entry-paused"},
    {"use-leaving-servers", "leaving backend server got work", "burst"},
    {"ignore-configuration", "not in force", "operators-race"},
    {"never-reclaim", "the guarantee was reclaimed after", "messages-lost"},
    {"trust-lost-writes", "has not ended", "planned-stop", "store-down"},
};

bool is_caught(const mutant& m) {
    active_mutant = m.name;
    auto cells = plan_cells("", m.fault, m.with);
    run_all(cells);
    int noticed = 0;
    std::string example;
    for (const auto& c : cells) {
        for (const auto& v : c.violations) {
            if (v.find(m.expected_violation) == std::string::npos)
                continue;
            ++noticed;
            if (example.empty())
                example = fmt::format("{} at {}: {}", matrix::name_of(c.faults),
                                      c.at->name, v);
        }
    }
    fmt::print("mutant {:<22} {} ({} lines) {}\n", m.name,
               noticed > 0 ? "caught" : "MISSED", noticed, example);
    return noticed > 0;
}

int run_mutants() {
    int missed = 0;
    for (const auto& m : all_mutants)
        missed += is_caught(m) ? 0 : 1;
    fmt::print("mutants: {} of {} caught\n", std::size(all_mutants) - missed,
               std::size(all_mutants));
    return missed == 0 ? 0 : 1;
}
#else
int run_mutants() {
    fmt::print(stderr, "fault_matrix: this build has no mutants; run "
                       "fault_matrix_mutants\n");
    return 2;
}
#endif

using command_line = std::map<std::string, docopt::value>;

std::string text_of(const command_line& arguments, const char* key) {
    const auto& value = arguments.at(key);
    return value ? value.asString() : std::string{};
}

int report(const std::vector<matrix_cell>& cells,
           const command_line& arguments) {
    int held = 0;
    int failed = 0;
    int not_applicable = 0;
    for (const auto& m : cells) {
        print_violations(m, arguments.at("--trace").asBool());
        held += label(m) == "held" ? 1 : 0;
        failed += label(m) == "FAILED" ? 1 : 0;
        not_applicable += label(m) == "n/a" ? 1 : 0;
    }
    if (arguments.at("--table"))
        std::ofstream(arguments.at("--table").asString()) << table_of(cells);
    fmt::print("fault matrix: {} held, {} failed, {} not applicable\n", held,
               failed, not_applicable);
    return failed == 0 && held > 0 ? 0 : 1;
}

} // namespace

} // namespace celerylift::matrix

int main(int argc, char** argv) {
    using namespace celerylift::matrix;
    try {
        const auto arguments =
            docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, false);
        if (arguments.at("mutants").asBool())
            return run_mutants();
        auto cells = plan_cells(text_of(arguments, "--step"),
                                text_of(arguments, "--fault"),
                                text_of(arguments, "--with"));
        run_all(cells);
        return report(cells, arguments);
    } catch (const docopt::DocoptExitHelp&) {
        fmt::print("{}", usage);
        return 0;
    } catch (const std::exception& e) {
        fmt::print(stderr, "fault_matrix: {}\n", e.what());
        return 2;
    }
}
