#include "standin_http.hpp"

#include <fmt/format.h>
#include <google/protobuf/stubs/strutil.h>
#include <nlohmann/json.hpp>

namespace celerylift::test {

namespace {

using json = nlohmann::json;

constexpr duration call_timeout{2500};

std::string encode_base64(const std::string& bytes) {
    std::string text;
    google::protobuf::Base64Escape(
        reinterpret_cast<const unsigned char*>(bytes.data()),
        static_cast<int>(bytes.size()), &text, true);
    return text;
}

std::string decode_base64(const std::string& text) {
    std::string bytes;
    google::protobuf::Base64Unescape(text, &bytes);
    return bytes;
}

json encode(const fleet::store_item& item) {
    return {{"key", item.key},
            {"value", encode_base64(item.value)},
            {"rev", item.revision},
            {"created", item.revision},
            {"lease", 0}};
}

int http_status(fleet::store_status status) {
    switch (status) {
    case fleet::store_status::ok:
        return 200;
    case fleet::store_status::conflict:
        return 412;
    case fleet::store_status::not_found:
        return 404;
    case fleet::store_status::compacted:
        return 410;
    default:
        return 503;
    }
}

void answer(const net::responder& respond, int status, const json& body) {
    respond({status, body.dump(), {{"Content-Type", "application/json"}}});
}

std::string query(const net::served_request& request, const char* name) {
    const auto it = request.query.find(name);
    return it == request.query.end() ? "" : it->second;
}

std::int64_t query_number(const net::served_request& request,
                          const char* name) {
    return std::atoll(query(request, name).c_str());
}

fleet::store_transaction decode_transaction(const json& body) {
    fleet::store_transaction transaction;
    for (const auto& row : body.value("expected", json::array()))
        transaction.expected.push_back({row.at("key"), row.at("rev")});
    for (const auto& row : body.value("puts", json::array()))
        transaction.puts.push_back({row.at("key"),
                                    decode_base64(row.at("value")),
                                    row.value("lease", std::int64_t{0})});
    for (const auto& key : body.value("remove", json::array()))
        transaction.removals.push_back(key);
    return transaction;
}

void serve_transaction(fleet::store& store, const net::served_request& request,
                       const net::responder& respond) {
    store.transact(decode_transaction(json::parse(request.body)), call_timeout,
                   [respond](const fleet::transaction_reply& reply) {
                       json body = {{"rev", reply.revision}};
                       for (const auto& item : reply.current)
                           body["items"].push_back(encode(item));
                       answer(respond, http_status(reply.status), body);
                   });
}

void serve_range(fleet::store& store, const net::served_request& request,
                 const net::responder& respond) {
    store.range(query(request, "prefix"), query(request, "after"), call_timeout,
                [respond](const fleet::range_reply& reply) {
                    json body = {{"items", json::array()},
                                 {"has_more", reply.has_more},
                                 {"as_of", reply.as_of}};
                    for (const auto& item : reply.items)
                        body["items"].push_back(encode(item));
                    answer(respond, http_status(reply.status), body);
                });
}

void serve_watch(fleet::store& store, const net::served_request& request,
                 const net::responder& respond) {
    store.watch(
        query(request, "prefix"), query_number(request, "after"),
        duration{query_number(request, "wait_ms")},
        duration{query_number(request, "wait_ms")} + call_timeout,
        [respond](const fleet::watch_reply& reply) {
            json body = {{"events", json::array()}, {"as_of", reply.as_of}};
            for (const auto& change : reply.changes) {
                auto event = encode(change.item);
                if (change.removed)
                    event = {{"key", change.item.key},
                             {"rev", change.item.revision},
                             {"removed", true}};
                body["events"].push_back(event);
            }
            answer(respond, http_status(reply.status), body);
        });
}

void serve_lease(fleet::store& store, const net::served_request& request,
                 const net::responder& respond) {
    const auto done = [respond](const fleet::lease_reply& reply) {
        answer(respond, http_status(reply.status),
               {{"lease", reply.lease}, {"ttl_ms", reply.ttl.count()}});
    };
    const auto id =
        std::atoll(request.path.substr(request.path.rfind('/') + 1).c_str());
    if (request.path == "/api/kv-lease")
        store.grant_lease(
            duration{json::parse(request.body).at("ttl_ms").get<int>()},
            call_timeout, done);
    else if (request.method == "DELETE")
        store.end_lease(id, call_timeout, done);
    else
        store.renew_lease(id, call_timeout, done);
}

const char* run_end_name(fleet::RunEnd how) {
    switch (how) {
    case fleet::RUN_DONE:
        return "done";
    case fleet::RUN_FAILED:
        return "failed";
    case fleet::RUN_STOPPED:
        return "stopped";
    case fleet::RUN_BROKEN:
        return "broken";
    case fleet::RUN_ALONE:
        return "alone";
    default:
        return "lapsed";
    }
}

void answer_command(const net::responder& respond,
                    const fleet::server_reply& reply) {
    if (reply.status == fleet::server_status::unknown)
        return; // The request stays open until the HTTP server is closed.
    json body = {{"clock_ms", reply.clock_ms.value_or(0)}};
    if (!reply.reason.empty())
        body["reason"] = reply.reason;
    answer(respond, reply.status == fleet::server_status::ok ? 200 : 409, body);
}

void answer_poll(const net::responder& respond,
                 const fleet::poll_reply& reply) {
    if (reply.status == fleet::server_status::unknown)
        return;
    json body = {{"clock_ms", reply.clock_ms.value_or(0)},
                 {"born", reply.started_unix_ms},
                 {"running", json::array()},
                 {"finished", json::array()}};
    for (const auto& r : reply.running)
        body["running"].push_back(
            {r.name().task(), r.name().run(), r.checkpoint(), r.percent(), 0});
    for (const auto& e : reply.ended)
        body["finished"].push_back({e.number(), e.name().task(), e.name().run(),
                                    run_end_name(e.how()), e.checkpoint()});
    answer(respond, 200, body);
}

} // namespace

void serve_store(fleet::store& store, const net::served_request& request,
                 const net::responder& respond) {
    if (request.path == "/api/kv-txn")
        return serve_transaction(store, request, respond);
    if (request.path == "/api/kv-range")
        return serve_range(store, request, respond);
    if (request.path == "/api/kv-watch")
        return serve_watch(store, request, respond);
    if (request.path.starts_with("/api/kv-lease") ||
        request.path.starts_with("/api/kv-keep/"))
        return serve_lease(store, request, respond);
    if (request.path != "/api/kv-key")
        return answer(respond, 404, {{"error", "no such call"}});
    store.read(query(request, "key"), call_timeout,
               [respond](const fleet::read_reply& reply) {
                   auto body = encode(reply.item);
                   body["as_of"] = reply.as_of;
                   answer(respond, http_status(reply.status), body);
               });
}

void serve_server(virtual_server& server, fleet::backend_server& calls,
                  const net::served_request& request,
                  const net::responder& respond) {
    const auto id = request.headers.find("x-target-instance");
    if (id == request.headers.end() || id->second != server.id())
        return answer(respond, 421, {{"error", "another instance"}});
    const auto body = json::parse(request.body);
    const auto command = [respond](const fleet::server_reply& reply) {
        answer_command(respond, reply);
    };
    if (request.path == "/api/run-start")
        return calls.start(id->second,
                           {body.at("task"), body.at("run"), body.at("spec"),
                            body.value("last_checkpoint", ""),
                            body.at("deadline_ms"), body.at("fence")},
                           command);
    if (request.path == "/api/run-stop")
        return calls.stop(id->second,
                          {body.at("task"), body.at("run"), body.at("fence")},
                          command);
    if (request.path != "/api/hold")
        return answer(respond, 404, {{"error", "no such call"}});
    fleet::poll_call call;
    if (body.contains("deadline_ms"))
        call.deadline_ms = body.at("deadline_ms").get<std::int64_t>();
    call.fencing_token = body.at("fence");
    call.acknowledged_up_to = body.at("ack_index");
    call.wait = duration{body.value("wait_ms", 0)};
    calls.poll_runs(id->second, call,
                    [respond](const fleet::poll_reply& reply) {
                        answer_poll(respond, reply);
                    });
}

void send_heartbeat(virtual_server& server, net::http_client& client,
                    const base::address& agent) {
    const auto heartbeat = server.heartbeat();
    net::client_request request;
    request.method = "PUT";
    request.to = agent;
    request.path = "/api/instances/" + heartbeat.id;
    request.headers["Content-Type"] = "application/json";
    request.body = json{{"service", heartbeat.service},
                        {"address", "127.0.0.1:1"},
                        {"zone", "za-north-a"},
                        {"version", "v1"},
                        {"slots", 8},
                        {"state", heartbeat.draining ? "draining" : "ready"},
                        {"cold_left_ms", 0},
                        {"capacity",
                         {{"cpu", heartbeat.capacity.millicores},
                          {"mem_mb", heartbeat.capacity.memory_mb},
                          {"gpu", heartbeat.capacity.accelerators}}},
                        {"labels", heartbeat.labels},
                        {"born", heartbeat.started_unix_ms},
                        {"seq", heartbeat.sequence}}
                       .dump();
    client.call(request, [](const net::client_response&) {});
}

} // namespace celerylift::test
