// Measures the control plane's cost for several cell sizes: bytes, messages,
// store calls, processor time and memory. The whole cell runs in one process
// and in virtual time.
#include "virtual/requests.hpp"
#include "virtual/virtual_cell.hpp"

#include <fmt/format.h>
#include <malloc.h>

#include <ctime>

namespace celerylift::bench {

namespace {

using namespace fakes;

constexpr duration measured{20'000};
constexpr int tasks_per_worker = 8;

struct traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

double cpu_ms() {
    return 1000.0 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void fill(virtual_cell& cell, int agents) {
    cell.ask("entry-1", put_organisation("kwela", 0, {}));
    for (int i = 0; i < agents * tasks_per_worker; ++i)
        cell.call("entry-1",
                  submit(gang_job(fmt::format("job-{}", i), "kwela",
                                  shape(1, 1, api::WORKER), 3'600'000)));
    cell.run_for(duration{5000});
}

void measure(int agents) {
    const auto heap = mallinfo2().uordblks;
    cell_size size;
    size.agents = agents;
    virtual_cell cell(size);
    cell.run_until([&] {
        return !cell.owner().empty() &&
               static_cast<int>(cell.owner_state()->cell.workers.size()) ==
                   agents;
    });
    const auto calls_before = cell.store().writes() + cell.store().reads();
    fill(cell, agents);
    const auto calls =
        cell.store().writes() + cell.store().reads() - calls_before;
    const auto store_bytes = cell.store().bytes_written();
    const auto owner = cell.owner();
    traffic to_owner;
    traffic from_owner;
    cell.set_link_rule([&](const std::string& from, const std::string& to,
                           const wire::Envelope& envelope) {
        if (to == owner) {
            ++to_owner.messages;
            to_owner.bytes += envelope.ByteSizeLong();
        }
        if (from == owner) {
            ++from_owner.messages;
            from_owner.bytes += envelope.ByteSizeLong();
        }
        return delivery{};
    });
    const auto begin = cpu_ms();
    cell.run_for(measured);
    const double seconds = static_cast<double>(measured.count()) / 1000;
    const int jobs = agents * tasks_per_worker;
    fmt::print(
        "| {} | {} | {:.0f} | {:.0f} | {:.0f} | {:.2f} | {:.0f} | {:.2f} "
        "| {:.0f} |\n",
        agents, cell.owner_state()->cell.gangs.size(),
        static_cast<double>(to_owner.bytes) /
            static_cast<double>(to_owner.messages),
        static_cast<double>(to_owner.bytes) / seconds,
        static_cast<double>(from_owner.bytes) / seconds,
        (cpu_ms() - begin) / seconds,
        static_cast<double>(mallinfo2().uordblks - heap) / 1024,
        static_cast<double>(calls) / jobs,
        static_cast<double>(store_bytes) / jobs);
}

} // namespace

} // namespace celerylift::bench

int main() {
    fmt::print(
        "| agents | gangs | bytes a message to the owner | bytes/s to "
        "the owner | bytes/s from the owner | processor ms/s, all "
        "processes | heap KB, all processes | store calls a job | store "
        "bytes written a job |\n|---|---|---|---|---|---|---|---|---|\n");
    for (int agents : {9, 30, 90, 270})
        celerylift::bench::measure(agents);
    return 0;
}
