#pragma once

#include "virtual_fleet.hpp"

#include <functional>
#include <string>
#include <vector>

namespace celerylift::test {

/// Something that goes wrong for a while.
struct fault {
    std::string name;
    std::function<void(virtual_fleet&)> begin;
    std::function<void(virtual_fleet&)> end;
    duration lasts{2500};
};

std::vector<fault> all_faults();

/// Steps of the story at which a fault can begin, by milliseconds after the
/// first job is handed in: while jobs are stored, started, at work, ending,
/// acknowledged and cancelled.
inline constexpr int moments[] = {0,   2,   5,   9,   14,   40,
                                  250, 395, 405, 800, 1200, 2500};

/// Five jobs of three organisations' kinds: single tasks, gangs, a chain,
/// urgent and long ones.
struct story {
    virtual_fleet& f;
    std::vector<std::string> accepted;

    void begin();
    /// Callers repeat what was not answered, as the platform's callers do.
    void finish();
    /// What should not have been seen.
    std::vector<std::string> broken_promises() const;

private:
    void hand_in(const fleet::Submission& job, const std::string& key,
                 const std::string& path);
    bool is_over() const;
};

void restart_entries(virtual_fleet& f);
void restart_agents(virtual_fleet& f);

/// Plays the story with one fault; returns what was broken.
std::vector<std::string> play(virtual_fleet& f, const fault& what,
                              int moment_ms);

} // namespace celerylift::test
