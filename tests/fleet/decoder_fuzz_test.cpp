// Random changes to messages from outside: none may end a process, and what is
// refused has a reason that can be sent on. FUZZ_ROUNDS plays longer.
#include "virtual_fleet.hpp"

#include <celerylift/adapter/platform.hpp>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <random>

namespace celerylift::test {

namespace {

constexpr unsigned seed = 39;
constexpr int default_rounds = 4000;
constexpr int max_changes = 6;

int rounds() {
    const char* text = std::getenv("FUZZ_ROUNDS");
    return text ? std::atoi(text) : default_rounds;
}

/// Replaces, removes, inserts and repeats some bytes.
std::string mutate(std::string bytes, std::mt19937& random) {
    const auto below = [&](std::size_t limit) {
        return static_cast<std::size_t>(random()) % limit;
    };
    for (auto n = 1 + below(max_changes); n > 0 && !bytes.empty(); --n) {
        const auto at = below(bytes.size());
        switch (below(5)) {
        case 0:
            bytes[at] = static_cast<char>(below(256));
            break;
        case 1:
            bytes.erase(at, 1 + below(8));
            break;
        case 2:
            bytes.insert(at, 1, R"({}[]",:-e9)"[below(10)]);
            break;
        case 3:
            bytes.insert(at, bytes.substr(below(bytes.size()), below(30)));
            break;
        default:
            bytes.insert(at, below(2) == 0 ? "99999999999999999999" : "null");
            break;
        }
    }
    return bytes;
}

template <class Decode>
void fuzz_text(const std::string& sample, Decode decode) {
    std::mt19937 random(seed);
    int refused = 0;
    for (int n = 0; n < rounds(); ++n) {
        const auto text = mutate(sample, random);
        const auto decoded = decode(text);
        const auto* failure = error_of(decoded);
        if (!failure)
            continue;
        ++refused;
        EXPECT_FALSE(failure->message.empty()) << text;
        // Throws if the message cannot be sent to a caller.
        EXPECT_NO_THROW((void)nlohmann::json(failure->message).dump()) << text;
    }
    EXPECT_GT(refused, 0);
}

/// Passes changed forms of a message to `receive`, those that can be parsed.
template <class Receive>
void fuzz_message(const fleet::FleetEnvelope& sample, Receive receive) {
    std::mt19937 random(seed);
    const auto bytes = sample.SerializeAsString();
    for (int n = 0; n < rounds(); ++n) {
        fleet::FleetEnvelope changed;
        if (changed.ParseFromString(mutate(bytes, random)))
            receive(changed);
    }
}

fleet::FleetEnvelope sample_report(const virtual_fleet& fleet) {
    fleet::FleetEnvelope envelope;
    auto* report = envelope.mutable_report();
    report->set_failure_domain("za-north-a");
    report->set_sent_at_ms(fleet.sim.now.time_since_epoch().count());
    auto* server = report->mutable_server();
    server->set_incarnation("server-1@1000000");
    server->set_service("order-desk");
    server->set_rack("rack-0");
    server->mutable_capacity()->set_accelerators(8);
    auto* running = report->add_running();
    running->mutable_name()->set_task("0000000000000001.0.0.0");
    running->mutable_name()->set_run(1);
    running->set_percent(40);
    auto* ended = report->add_ended();
    ended->set_number(1);
    *ended->mutable_name() = running->name();
    *report->add_gone()->mutable_name() = running->name();
    *report->add_crashes()->add_active_runs() = running->name();
    return envelope;
}

fleet::FleetEnvelope sample_orders(const std::string& incarnation) {
    fleet::FleetEnvelope envelope;
    auto* orders = envelope.mutable_orders();
    orders->set_epoch(1);
    orders->set_incarnation(incarnation);
    orders->set_grant_ms(5000);
    auto* start = orders->add_assigned_sharing_payloads();
    start->mutable_name()->set_task("0000000000000001.0.0.0");
    start->mutable_name()->set_run(1);
    (*orders->mutable_payloads())["0000000000000001"] = "ms=100";
    *orders->add_stops() = start->name();
    return envelope;
}

} // namespace

TEST(fuzzed_text, of_a_configuration_is_decoded_or_refused) {
    fuzz_text(
        R"({"version":7,"routes":[{"name":"r-1","host":"h",
        "prefix":"/p/","priority":2,"service":"s","max_attempts":3,
        "stretch":1.5,"target_duration_ms":250}],"services":[{"name":"s"}],
        "limits":{"max_body_bytes":1000},"tenants":[{"name":"t",
        "api_keys":["a"],"guaranteed":{"gpu":16}}]})",
        [](const std::string& text) { return adapter::decode_config(text); });
}

TEST(fuzzed_text, of_a_heartbeat_is_decoded_or_refused) {
    fuzz_text(R"({"service":"s","address":"10.0.0.9:8080","zone":"z",
        "version":"v1","slots":8,"state":"ready","cold_left_ms":0,
        "capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},
        "labels":["a","r1-3"],"clock_ms":482113,"seq":4,"born":5})",
              [](const std::string& text) {
                  return adapter::decode_heartbeat("i-1", text);
              });
}

TEST(fuzzed_text, of_a_job_is_decoded_or_refused) {
    fuzz_text(R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,
        "est_duration_ms":900,"affinity":"r1-3"},{"count":20,"cpu":2000,
        "mem_mb":1024,"after":[0],"checkpointable":true}]})",
              [](const std::string& text) {
                  return adapter::decode_submission("0000000000000001", text);
              });
}

TEST(fuzzed_message, from_an_agent_does_not_stop_the_owner) {
    virtual_fleet fleet;
    fuzz_message(sample_report(fleet), [&](const auto& message) {
        if (const int owner = fleet.owner_entry(); owner != 0)
            fleet.entry(owner).on_message("agent-99", message);
        fleet.sim.run_for(duration{1});
    });
    fleet.submit(make_job("00000000000000aa", "ms=100", 6, {8'000, 16'000, 1}),
                 fleet.owner_entry() % 3 + 1);
    EXPECT_TRUE(fleet.wait_for_state("00000000000000aa", fleet::JOB_COMPLETED,
                                     duration{20'000}));
}

TEST(fuzzed_message, from_an_owner_does_not_stop_an_agent) {
    virtual_fleet fleet;
    auto& agent = fleet.agent(1);
    const auto epoch = agent.epoch;
    fuzz_message(sample_orders(agent.incarnation), [&](auto message) {
        if (message.has_orders())
            message.mutable_orders()->set_epoch(epoch);
        fleet::on_orders(agent, message.orders());
        fleet.sim.run_for(duration{1});
    });
    fleet.submit(make_job("00000000000000aa", "ms=100", 6, {8'000, 16'000, 8}));
    EXPECT_TRUE(fleet.wait_for_state("00000000000000aa", fleet::JOB_COMPLETED,
                                     duration{20'000}));
}

} // namespace celerylift::test
