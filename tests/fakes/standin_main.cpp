// Runs a fake store, worker or backend server as a process, for the quick
// start and the tests with real processes.
#include "fake_backend.hpp"
#include "fake_store.hpp"
#include "fake_worker.hpp"

#include <celerylift/net/control_loop.hpp>
#include <celerylift/net/http_server.hpp>
#include <celerylift/platform/http_client.hpp>

#include <docopt/docopt.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <memory>
#include <mutex>
#include <thread>

namespace celerylift::fakes {

namespace {

using namespace protocol;
using command_line = std::map<std::string, docopt::value>;
using net::served_request;
using net::served_response;

constexpr const char* usage =
    R"(celerylift-standin: replaces a part of the platform in tests.

Usage:
  celerylift-standin store --listen=ADDR
  celerylift-standin worker --listen=ADDR --accelerators=N
  celerylift-standin backend --listen=ADDR --id=ID --service=NAME --slots=N --agent=ADDR
)";

std::string query(const served_request& request, const char* key) {
    auto it = request.query.find(key);
    return it == request.query.end() ? std::string{} : it->second;
}

std::int64_t number(const served_request& request, const char* key) {
    return std::atoll(query(request, key).c_str());
}

std::string after(const std::string& path, const std::string& prefix) {
    return path.substr(prefix.size());
}

const std::string keys_path = "/v1/keys/";
const std::string leases_path = "/v1/leases/";
const std::string tasks_path = "/v1/tasks/";
const std::string requests_path = "/v1/requests/";

// ---- Store ----

/// Serves the fake store over HTTP. `PUT /faults?mode=down|slow|lose|none`
/// injects a fault.
class store_server {
public:
    served_response serve(const served_request& request) {
        if (request.path == "/faults")
            return set_fault(query(request, "mode"));
        const auto mode = fault();
        if (mode == "down")
            return {503, "the store is down\n", {}};
        if (mode == "slow")
            std::this_thread::sleep_for(slow_answer);
        if (request.path == "/v1/watch")
            return watch(request);
        auto response = call(request);
        if (mode == "lose")
            return {503, "the answer was lost\n", {}};
        return response;
    }

private:
    static constexpr std::chrono::milliseconds slow_answer{300};
    static constexpr std::chrono::milliseconds expiry_period{50};

    served_response set_fault(const std::string& mode) {
        const std::lock_guard lock(mutex_);
        fault_ = mode;
        return {200, mode + "\n", {}};
    }

    std::string fault() {
        const std::lock_guard lock(mutex_);
        return fault_;
    }

    static store_request parse(const served_request& request) {
        store_request out;
        out.expected_revision = number(request, "revision");
        out.lease = number(request, "lease");
        out.ttl = duration{number(request, "ttl_ms")};
        out.value = request.body;
        const bool put = request.method == "PUT";
        const bool remove = request.method == "DELETE";
        if (request.path.starts_with(keys_path)) {
            out.key = after(request.path, keys_path);
            out.op = put      ? store_op::put
                     : remove ? store_op::remove
                              : store_op::get;
            return out;
        }
        if (request.path.starts_with(leases_path))
            out.lease = std::atoll(after(request.path, leases_path).c_str());
        out.op = put      ? store_op::renew_lease
                 : remove ? store_op::revoke_lease
                          : store_op::grant_lease;
        return out;
    }

    served_response call(const served_request& request) {
        const std::lock_guard lock(mutex_);
        const auto reply = store_.apply(parse(request), net::monotonic_now());
        changed_.notify_all();
        const int status = reply.status == store_status::ok         ? 200
                           : reply.status == store_status::conflict ? 409
                                                                    : 404;
        return {status,
                reply.value,
                {{"X-Revision", std::to_string(reply.revision)},
                 {"X-Lease", std::to_string(reply.lease)}}};
    }

    served_response watch(const served_request& request) {
        const auto prefix = query(request, "prefix");
        const auto since = number(request, "after");
        const auto end =
            net::monotonic_now() + duration{number(request, "wait_ms")};
        std::unique_lock lock(mutex_);
        std::vector<watch_event> events;
        for (;;) {
            store_.expire(net::monotonic_now());
            events = since < 0 ? store_.snapshot(prefix)
                               : store_.changes_after(prefix, since);
            if (since < 0 || !events.empty() || net::monotonic_now() >= end ||
                fault_ == "down")
                break;
            changed_.wait_for(lock, expiry_period);
        }
        auto list = nlohmann::json::array();
        for (const auto& e : events)
            list.push_back({{"key", e.key},
                            {"revision", e.revision},
                            {"removed", e.removed}});
        const nlohmann::json body{{"revision", store_.revision()},
                                  {"events", list}};
        return {200, body.dump(), {}};
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    fake_store store_;
    std::string fault_;
};

// ---- Worker ----

class worker_server {
public:
    explicit worker_server(int accelerators) : worker_(accelerators) {}

    served_response serve(const served_request& request) {
        const std::lock_guard lock(mutex_);
        if (request.path == "/faults") {
            worker_.fail_every_task(query(request, "mode") == "fail");
            return {200, "done\n", {}};
        }
        const auto call = parse(request);
        const auto reply = worker_.apply(call, net::monotonic_now());
        if (call.op == worker_op::list)
            return {200, list(reply), {}};
        return {
            reply.status == worker_status::ok ? 200 : 409, reply.detail, {}};
    }

private:
    static worker_request parse(const served_request& request) {
        worker_request out;
        out.payload = request.body;
        if (request.path == "/v1/renew") {
            out.op = worker_op::renew;
            return out;
        }
        if (!request.path.starts_with(tasks_path))
            return out;
        out.task = after(request.path, tasks_path);
        out.accelerators = static_cast<int>(number(request, "accelerators"));
        out.lease = duration{number(request, "lease_ms")};
        out.op = request.method == "PUT" ? worker_op::start : worker_op::stop;
        if (const auto slash = out.task.find('/'); slash != std::string::npos) {
            out.op = out.task.substr(slash) == "/checkpoint"
                         ? worker_op::checkpoint
                         : worker_op::throttle;
            out.task.resize(slash);
        }
        return out;
    }

    static std::string list(const worker_reply& reply) {
        static const char* const names[] = {"running", "succeeded", "failed",
                                            "stopped"};
        auto tasks = nlohmann::json::array();
        for (const auto& t : reply.tasks)
            tasks.push_back({{"task", t.task},
                             {"state", names[static_cast<int>(t.state)]}});
        return tasks.dump();
    }

    std::mutex mutex_;
    fake_worker worker_;
};

// ---- Backend server ----

class backend_server {
public:
    served_response serve(const served_request& request) {
        if (request.path == "/executions") {
            const std::lock_guard lock(mutex_);
            return {200, nlohmann::json(backend_.all_executions()).dump(), {}};
        }
        if (!request.path.starts_with(requests_path))
            return {404, "POST /v1/requests/JOB\n", {}};
        const auto job = after(request.path, requests_path);
        fake_backend::execution done;
        {
            const std::lock_guard lock(mutex_);
            done = backend_.execute(job, request.body);
        }
        std::this_thread::sleep_for(done.takes);
        return {200, done.answer, {}};
    }

private:
    std::mutex mutex_;
    fake_backend backend_;
};

// ---- Process ----

base::address parse_address(const std::string& text) {
    const auto colon = text.rfind(':');
    return {text.substr(0, colon),
            static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1))};
}

/// Serves requests until the process is asked to stop, and announces itself
/// periodically.
int run_until_stopped(const base::address& at, net::http_server::handler serve,
                      const std::function<void()>& announce,
                      const std::function<void()>& leave) {
    constexpr duration announce_period{1000};
    net::control_loop loop;
    net::http_server server(at, std::move(serve));
    loop.on_termination([&] {
        leave();
        loop.end();
    });
    loop.every(announce_period, announce);
    announce();
    loop.run();
    return 0;
}

int run_backend(const command_line& arguments) {
    constexpr int announce_ttl_ms = 3000;
    const auto at = arguments.at("--listen").asString();
    const auto url = fmt::format("http://{}/v1/backends/{}",
                                 arguments.at("--agent").asString(),
                                 arguments.at("--id").asString());
    backend_server backend;
    const auto announce = [&] {
        platform::http_request request;
        request.method = "POST";
        request.url = fmt::format("{}?service={}&slots={}&ttl_ms={}&address={}",
                                  url, arguments.at("--service").asString(),
                                  arguments.at("--slots").asString(),
                                  announce_ttl_ms, at);
        platform::call_http(request);
    };
    const auto leave = [&] {
        platform::http_request request;
        request.method = "DELETE";
        request.url = url;
        platform::call_http(request);
    };
    return run_until_stopped(
        parse_address(at),
        [&](const served_request& r) { return backend.serve(r); }, announce,
        leave);
}

int run(const command_line& arguments) {
    const auto nothing = [] {};
    const auto at = parse_address(arguments.at("--listen").asString());
    if (arguments.at("store").asBool()) {
        store_server store;
        return run_until_stopped(
            at, [&](const served_request& r) { return store.serve(r); },
            nothing, nothing);
    }
    if (arguments.at("backend").asBool())
        return run_backend(arguments);
    worker_server worker(
        std::atoi(arguments.at("--accelerators").asString().c_str()));
    return run_until_stopped(
        at, [&](const served_request& r) { return worker.serve(r); }, nothing,
        nothing);
}

} // namespace

} // namespace celerylift::fakes

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return celerylift::fakes::run(docopt::docopt_parse(
            celerylift::fakes::usage, {argv + 1, argv + argc}, true, false));
    } catch (const docopt::DocoptExitHelp&) {
        fmt::print("{}", celerylift::fakes::usage);
        return 0;
    } catch (const std::exception& e) {
        fmt::print(stderr, "celerylift-standin: {}\n", e.what());
        return 2;
    }
}
