#include "arrivals.hpp"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <fstream>
#include <random>
#include <sstream>

namespace celerylift::bench {

namespace {

using kernel::adjacency;

error bad_line(const std::string& file, int line, const std::string& found) {
    return {error_kind::invalid_argument,
            fmt::format("{}:{}: found '{}'; allowed is 'at_ms organisation "
                        "urgent|patient MEMBERSxACCELERATORS@UNIT declared_ms "
                        "run_ms' with a unit of worker, rack, domain or cell",
                        file, line, found),
            run_state::not_run, duration{0}};
}

bool parse_unit(const std::string& text, adjacency& unit) {
    if (text == "worker")
        unit = adjacency::worker;
    else if (text == "rack")
        unit = adjacency::rack;
    else if (text == "domain")
        unit = adjacency::failure_domain;
    else if (text == "cell")
        unit = adjacency::cell;
    else
        return false;
    return true;
}

bool parse_line(const std::string& line, arrival& out) {
    std::istringstream in(line);
    std::string urgency;
    std::string shape;
    std::int64_t at = 0;
    std::int64_t declared = 0;
    std::int64_t run = 0;
    in >> at >> out.job.organisation >> urgency >> shape >> declared >> run;
    const bool complete = !in.fail() && (in >> std::ws).eof();
    int parsed_length = 0;
    const int fields =
        std::sscanf(shape.c_str(), "%dx%d@%n", &out.job.shape.members,
                    &out.job.shape.accelerators, &parsed_length);
    const bool is_valid =
        complete && fields == 2 && parsed_length > 0 && at >= 0 &&
        declared >= 0 && run > 0 && out.job.shape.members > 0 &&
        out.job.shape.accelerators > 0 &&
        (urgency == "urgent" || urgency == "patient") &&
        parse_unit(shape.substr(static_cast<std::size_t>(parsed_length)),
                   out.job.shape.within);
    out.at = duration{at};
    out.actual_run = duration{run};
    out.job.declared_run = duration{declared};
    out.job.urgency =
        urgency == "urgent" ? kernel::urgency::urgent : kernel::urgency::batch;
    return is_valid;
}

/// A kind of job in a mix.
struct job_kind {
    double weight;
    kernel::urgency urgency;
    kernel::gang_shape shape;
    double mean_run_ms;
};

const std::vector<job_kind>& kinds_of(mix job_mix) {
    using kernel::urgency;
    static const std::vector<job_kind> kwela{
        {0.45, urgency::urgent, {1, 1, adjacency::worker}, 60'000},
        {0.25, urgency::urgent, {1, 2, adjacency::worker}, 90'000},
        {0.15, urgency::batch, {1, 4, adjacency::worker}, 300'000},
        {0.10, urgency::batch, {1, 8, adjacency::worker}, 600'000},
        {0.05, urgency::batch, {3, 8, adjacency::rack}, 600'000},
    };
    static const std::vector<job_kind> cwm_sump{
        {0.30, urgency::urgent, {1, 1, adjacency::worker}, 120'000},
        {0.25, urgency::batch, {1, 3, adjacency::worker}, 900'000},
        {0.20, urgency::batch, {1, 8, adjacency::worker}, 1'800'000},
        {0.15, urgency::batch, {2, 8, adjacency::rack}, 1'800'000},
        {0.10, urgency::batch, {3, 8, adjacency::rack}, 2'400'000},
    };
    return job_mix == mix::kwela ? kwela : cwm_sump;
}

/// Mean work of a job in accelerator-milliseconds.
double mean_work(mix job_mix) {
    double work = 0;
    for (const auto& kind : kinds_of(job_mix))
        work += kind.weight * kernel::total_accelerators(kind.shape) *
                kind.mean_run_ms;
    return work;
}

const job_kind& pick_kind(mix job_mix, double draw) {
    for (const auto& kind : kinds_of(job_mix)) {
        draw -= kind.weight;
        if (draw < 0)
            return kind;
    }
    return kinds_of(job_mix).back();
}

} // namespace

result<std::vector<arrival>> read_arrivals(const std::string& file) {
    std::ifstream in(file);
    if (!in)
        return error{error_kind::invalid_argument,
                     file + ": cannot be read; check the path and permissions",
                     run_state::not_run, duration{0}};
    std::vector<arrival> arrivals;
    std::string line;
    for (int number = 1; std::getline(in, line); ++number) {
        if (line.empty() || line.front() == '#')
            continue;
        arrival a;
        if (!parse_line(line, a))
            return bad_line(file, number, line);
        a.job.id = fmt::format("line-{}", number);
        arrivals.push_back(std::move(a));
    }
    std::stable_sort(
        arrivals.begin(), arrivals.end(),
        [](const arrival& a, const arrival& b) { return a.at < b.at; });
    return arrivals;
}

std::vector<arrival> generate_arrivals(const mix_settings& settings) {
    std::mt19937 random(settings.seed);
    std::exponential_distribution<double> unit_mean(1.0);
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    const double gap_ms =
        mean_work(settings.mix) / (settings.load * settings.accelerators);
    std::vector<arrival> arrivals;
    double at = 0;
    while (at < static_cast<double>(settings.length.count())) {
        at += gap_ms * unit_mean(random);
        const auto& kind = pick_kind(settings.mix, uniform(random));
        arrival generated;
        generated.at = duration{static_cast<std::int64_t>(at)};
        generated.actual_run =
            duration{1000 + static_cast<std::int64_t>(kind.mean_run_ms *
                                                      unit_mean(random))};
        const double error =
            std::pow(settings.declaration_error, 2 * uniform(random) - 1);
        generated.job.declared_run = duration{static_cast<std::int64_t>(
            static_cast<double>(generated.actual_run.count()) * error)};
        generated.job.id = fmt::format("job-{}", arrivals.size());
        generated.job.organisation =
            fmt::format("org-{}", static_cast<int>(uniform(random) *
                                                   settings.organisations));
        generated.job.urgency = kind.urgency;
        generated.job.shape = kind.shape;
        arrivals.push_back(std::move(generated));
    }
    return arrivals;
}

} // namespace celerylift::bench
