// The settings of the fleet's processes, and the errors that name what is wrong
// in them.
#include <celerylift/host/fleet_settings.hpp>

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>

namespace celerylift::test {

namespace {

/// Reads an entry's settings with these lines appended.
result<host::fleet_entry_settings> read_with(const std::string& lines) {
    const auto file =
        testing::TempDir() + "entry-" + std::to_string(getpid()) + ".yaml";
    std::ofstream(file) << "name: entry-1\n"
                           "failure_domain: za-north-a\n"
                           "ip: 127.0.0.1\n"
                           "store: 127.0.0.1:7100\n"
                           "listen:\n"
                           "  callers: 127.0.0.1:7101\n"
                           "  readiness: 127.0.0.1:7102\n"
                           "  link: 7103\n"
                           "  metrics: 7104\n"
                           "entries: [127.0.0.1:7103]\n"
                        << lines;
    auto settings = host::read_fleet_entry_settings(file);
    std::remove(file.c_str());
    return settings;
}

std::string error_text(const result<host::fleet_entry_settings>& settings) {
    const auto* failure = error_of(settings);
    return failure ? failure->message : "";
}

} // namespace

TEST(policy_settings, leave_every_mechanism_on_by_default) {
    const auto settings = read_with("");
    EXPECT_EQ(error_text(settings), "");
    EXPECT_EQ(std::get<host::fleet_entry_settings>(settings).policy,
              fleet::scheduling_policy{});
}

TEST(policy_settings, switch_off_each_mechanism_alone) {
    for (const auto& [name, member] : fleet::policy_switches()) {
        const auto settings = read_with("policy:\n  " + name + ": off\n");
        ASSERT_EQ(error_text(settings), "") << name;
        auto expected = fleet::scheduling_policy{};
        expected.*member = false;
        EXPECT_EQ(std::get<host::fleet_entry_settings>(settings).policy,
                  expected)
            << name;
    }
}

TEST(policy_settings, name_a_misspelt_switch_and_what_is_allowed) {
    const auto text = error_text(read_with("policy:\n  backfil: off\n"));
    EXPECT_NE(text.find("policy.backfil"), std::string::npos) << text;
    for (const auto& [name, member] : fleet::policy_switches())
        EXPECT_NE(text.find(name), std::string::npos) << text;
}

TEST(policy_settings, name_a_value_that_is_not_allowed) {
    const auto text = error_text(read_with("policy:\n  backfill: maybe\n"));
    EXPECT_NE(text.find("policy.backfill"), std::string::npos) << text;
    EXPECT_NE(text.find("'maybe'"), std::string::npos) << text;
    EXPECT_NE(text.find("on or off"), std::string::npos) << text;
}

// Requests must not be followed on a platform that has none.
TEST(evacuation_settings, are_off_unless_the_platform_has_a_bound) {
    const auto bound = [](const std::string& lines) {
        const auto settings = read_with(lines);
        EXPECT_EQ(error_text(settings), "");
        return std::get<host::fleet_entry_settings>(settings).evacuation_bound;
    };
    EXPECT_EQ(bound(""), duration{0});
    EXPECT_EQ(bound("evacuation_bound_ms: 5000\n"), duration{5000});
    const auto text = error_text(read_with("evacuation_bound_ms: soon\n"));
    EXPECT_NE(text.find("evacuation_bound_ms"), std::string::npos) << text;
}

// The limit on clients was the same on all machines.
TEST(client_settings, follow_the_memory_and_the_descriptors_of_the_machine) {
    const auto limits = [](const std::string& lines) {
        const auto settings = read_with(
            "limits:\n  processor_share: 1\n  link_mbps: 1000\n" + lines);
        EXPECT_EQ(error_text(settings), "");
        return std::get<host::fleet_entry_settings>(settings).clients;
    };
    EXPECT_EQ(limits("  memory_mb: 512\n  max_fds: 1000\n"),
              net::derive_client_limits(512, 1000));
    EXPECT_EQ(limits(""), net::derive_client_limits(260, 4100));
    EXPECT_EQ(limits("  memory_mb: 0\n  max_fds: 0\n"), limits(""));
}

TEST(client_settings, bound_accepted_jobs_by_the_memory_of_the_machine) {
    const auto limits = [](const std::string& lines) {
        const auto settings = read_with(
            "limits:\n  processor_share: 1\n  link_mbps: 1000\n" + lines);
        EXPECT_EQ(error_text(settings), "");
        return std::get<host::fleet_entry_settings>(settings).accepted;
    };
    EXPECT_EQ(limits("  memory_mb: 512\n  max_fds: 1000\n"),
              fleet::derive_accepted_limits(512));
    EXPECT_EQ(limits(""), fleet::derive_accepted_limits(260));
    EXPECT_EQ(limits("  memory_mb: 0\n  max_fds: 0\n"), limits(""));
}

} // namespace celerylift::test
