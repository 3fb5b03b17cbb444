// Decoding of the platform's messages, and the errors for unreadable ones.
#include "virtual_fleet.hpp"

#include <celerylift/adapter/platform.hpp>

#include <gtest/gtest.h>

namespace celerylift::test {

TEST(configuration, is_decoded_into_queues_and_organisations) {
    const auto decoded = adapter::decode_config(R"({"version":7,
        "routes":[{"name":"r-1","host":"h","prefix":"/p/","priority":2,
                   "service":"s","max_attempts":3,"stretch":1.5,
                   "target_duration_ms":250,"public":true}],
        "services":[{"name":"s","enforces_capacity":true}],
        "limits":{"max_body_bytes":1000},
        "tenants":[{"name":"t","api_keys":["a","b"],"guaranteed":{"gpu":16}}],
        "unknown":[1,2]})");
    const auto& config = std::get<fleet::fleet_config>(decoded);
    EXPECT_EQ(config.version, 7);
    ASSERT_EQ(config.queues.size(), 1U);
    EXPECT_EQ(config.queues[0],
              (fleet::queue_config{"r-1", "h", "/p/", "s", 2, 3, 1.5,
                                   duration{250}, true, false}));
    EXPECT_EQ(config.organisations[0].guaranteed_accelerators, 16);
    EXPECT_EQ(config.limits.max_body_bytes, 1000U);
    EXPECT_TRUE(config.services[0].enforces_capacity);
}

TEST(configuration, that_is_unreadable_is_refused_with_a_reason) {
    for (const auto* text : {"", "{", "[]", R"({"version":"x","routes":[]})",
                             R"({"version":1})"}) {
        const auto decoded = adapter::decode_config(text);
        ASSERT_NE(error_of(decoded), nullptr) << text;
        EXPECT_NE(error_of(decoded)->message.find("can't be read"),
                  std::string::npos);
    }
}

TEST(queue, is_found_by_the_longest_prefix_of_its_host) {
    fleet::fleet_config config;
    const auto add = [&](const char* name, const char* host,
                         const char* prefix) {
        fleet::queue_config queue;
        queue.name = name;
        queue.host = host;
        queue.path_prefix = prefix;
        config.queues.push_back(queue);
    };
    add("short", "h", "/a/");
    add("long", "h", "/a/b/");
    add("other", "i", "/a/b/c/");
    EXPECT_EQ(fleet::find_queue(config, "h", "/a/b/c/1")->name, "long");
    EXPECT_EQ(fleet::find_queue(config, "h", "/a/1")->name, "short");
    EXPECT_EQ(fleet::find_queue(config, "h", "/b/1"), nullptr);
    EXPECT_EQ(fleet::find_queue(config, "j", "/a/1"), nullptr);
}

// The error repeated the bytes that could not be decoded, and the exception of
// the JSON library on encoding them ended the entry.
TEST(submission, that_is_not_utf_8_is_answered_as_invalid) {
    virtual_fleet fleet;
    const auto status_of = [&](const std::string& path,
                               const std::string& body) {
        const net::served_request request{
            "POST",
            path,
            {},
            body,
            {{"host", "host"}, {"api-key", "kwela-key"}}};
        int status = 0;
        adapter::serve_caller(fleet.entry(1).api(), request, fleet.sim.now,
                              [&](const net::served_response& response) {
                                  status = response.status;
                              });
        return status;
    };
    const std::string id = "00000000000000aa";
    EXPECT_EQ(status_of("/normal/" + id, "{\"spec\":\"\xff\"}"), 400);
    EXPECT_EQ(status_of("/normal/\xff", "{}"), 400);
}

TEST(heartbeat, is_decoded_with_its_rack_and_incarnation) {
    const auto decoded = adapter::decode_heartbeat("i-1", R"({"service":"s",
        "address":"10.0.0.1:80","state":"draining","remaining_ms":1800,
        "cold_left_ms":900,"seq":9,"born":77,
        "labels":["a","r1-3"],
        "capacity":{"cpu":16000,"mem_mb":32768,"gpu":8}})");
    const auto& heartbeat = std::get<fleet::server_heartbeat>(decoded);
    EXPECT_EQ(heartbeat.rack, "r1-3");
    EXPECT_EQ(heartbeat.started_unix_ms, 77);
    EXPECT_EQ(heartbeat.cold_left, duration{900});
    EXPECT_TRUE(heartbeat.draining);
    EXPECT_EQ(heartbeat.remaining, duration{1800});
    EXPECT_EQ(heartbeat.capacity, (fleet::resources{16'000, 32'768, 8}));
}

TEST(heartbeat, that_is_malformed_is_refused) {
    for (const auto* text :
         {"", "\xff\xfe", "7", R"({"service":"s"})",
          R"({"service":"s","address":"a","state":"odd","seq":9,
              "labels":[],"capacity":{"cpu":1,"mem_mb":1}})",
          R"({"service":5,"address":"a","state":"ready","seq":9,
              "labels":[],"capacity":{"cpu":1,"mem_mb":1}})"})
        EXPECT_NE(error_of(adapter::decode_heartbeat("i-1", text)), nullptr)
            << text;
}

TEST(submission, is_decoded_with_all_requirements_of_its_steps) {
    const auto decoded =
        adapter::decode_submission("5c0e7a21d94b36f8", R"({"spec":"text",
        "steps":[{"count":4,"cpu":500,"mem_mb":256,"gpu":2,
                  "est_duration_ms":900,"affinity":"r1-3","gang":true,
                  "same_rack":true},
                 {"count":2,"after":[0],"checkpointable":true,
                  "anti_affinity":1,"required_label":"b"}],
        "repeat_count":3,"start_at_ms":5000,"interval_ms":100})");
    const auto& job = std::get<fleet::Submission>(decoded);
    EXPECT_EQ(job.steps(0).each().accelerators(), 2);
    EXPECT_TRUE(job.steps(0).gang() && job.steps(0).same_rack());
    EXPECT_EQ(job.steps(0).affinity_rack(), "r1-3");
    EXPECT_EQ(job.steps(1).after(0), 0);
    EXPECT_EQ(job.steps(1).anti_affinity(), 1);
    EXPECT_EQ(job.occurrences(), 3);
    EXPECT_EQ(fleet::validation_error(job), "");
}

TEST(submission, that_is_unreadable_is_refused_with_a_reason) {
    const auto id = "5c0e7a21d94b36f8";
    for (const auto* text :
         {"", "[]", R"({"spec":"x"})", R"({"spec":"x","steps":5})",
          R"({"spec":"x","steps":[{"count":"two"}]})"})
        EXPECT_NE(error_of(adapter::decode_submission(id, text)), nullptr)
            << text;
    EXPECT_NE(error_of(adapter::decode_submission("short", "{}")), nullptr);
}

TEST(backend_server_call, is_recognised_by_its_method_and_path) {
    using kind = adapter::server_call::kind;
    net::served_request request;
    request.method = "PUT";
    request.path = "/api/instances/i-7";
    EXPECT_EQ(adapter::decode_server_call(request).type, kind::heartbeat);
    EXPECT_EQ(adapter::decode_server_call(request).id, "i-7");
    request.method = "DELETE";
    EXPECT_EQ(adapter::decode_server_call(request).type, kind::departure);
    request.path = "/elsewhere";
    EXPECT_EQ(adapter::decode_server_call(request).type, kind::other);
}

} // namespace celerylift::test
