// A stand-in for the platform: one process that serves the published interfaces
// of the store and of the backend servers on loopback.
#include "standin_http.hpp"

#include <celerylift/net/control_loop.hpp>

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <csignal>
#include <map>

namespace celerylift::test {

namespace {

constexpr const char* usage =
    R"(celerylift-platform-standin: a store and backend servers on loopback.

Usage:
  celerylift-platform-standin --store=PORT --servers=N --server-port=PORT --agent-port=PORT
  celerylift-platform-standin --help

Options:
  --store=PORT        Port of the store on 127.0.0.1.
  --servers=N         Number of backend servers, three per rack.
  --server-port=PORT  Server n listens on this port plus n.
  --agent-port=PORT   Server n sends heartbeats to this port plus n.
)";

constexpr duration tick{5};
constexpr duration heartbeat_period{500};
constexpr int servers_per_rack = 3;

struct server_process {
    std::unique_ptr<virtual_server> server;
    std::unique_ptr<fleet::backend_server> calls;
    std::unique_ptr<net::async_http_server> http_server;
    base::address agent;
};

/// Advances the virtual time of the stand-ins with the real time.
class platform {
public:
    explicit platform(const std::map<std::string, docopt::value>& arguments)
        : client_(loop_), store_calls_(store_.client("any", liveness_)) {
        const auto port = [&](const char* name, int n) {
            return static_cast<std::uint16_t>(arguments.at(name).asLong() + n);
        };
        store_http_server_ = std::make_unique<net::async_http_server>(
            loop_, base::address{"127.0.0.1", port("--store", 0)},
            net::http_server_limits{},
            [this](const net::served_request& request,
                   const net::responder& respond) {
                serve_store(*store_calls_, request, respond);
            });
        const auto count = static_cast<int>(arguments.at("--servers").asLong());
        for (int n = 1; n <= count; ++n)
            add_server(n, port("--server-port", n), port("--agent-port", n));
    }

    int run() {
        started_at_ = net::monotonic_now();
        loop_.every(tick, [this] { advance(); });
        loop_.on_termination([this] { loop_.end(); });
        loop_.run();
        store_http_server_.reset();
        servers_.clear();
        return 0;
    }

private:
    void add_server(int n, std::uint16_t port, std::uint16_t agent_port) {
        auto& added = servers_[n];
        added.server = std::make_unique<virtual_server>(
            sim_, history_, fmt::format("server-{}", n),
            fmt::format("rack-{}", (n - 1) / servers_per_rack));
        added.calls = added.server->client(liveness_);
        added.agent = {"127.0.0.1", agent_port};
        added.http_server = std::make_unique<net::async_http_server>(
            loop_, base::address{"127.0.0.1", port}, net::http_server_limits{},
            [&added](const net::served_request& request,
                     const net::responder& respond) {
                serve_server(*added.server, *added.calls, request, respond);
            });
    }

    void advance() {
        const auto elapsed = net::monotonic_now() - started_at_;
        if (elapsed > advanced_) {
            sim_.run_for(elapsed - advanced_);
            advanced_ = elapsed;
        }
        if (elapsed < next_heartbeat_)
            return;
        next_heartbeat_ = elapsed + heartbeat_period;
        for (auto& [n, served] : servers_)
            send_heartbeat(*served.server, client_, served.agent);
        for (; printed_violations_ < history_.violations.size();
             ++printed_violations_)
            fmt::print(stderr, "violation: {}\n",
                       history_.violations[printed_violations_]);
    }

    net::control_loop loop_;
    net::http_client client_;
    std::shared_ptr<int> liveness_ = std::make_shared<int>(0);
    simulation sim_;
    virtual_store store_{sim_};
    run_history history_;
    std::unique_ptr<fleet::store> store_calls_;
    std::unique_ptr<net::async_http_server> store_http_server_;
    std::map<int, server_process> servers_;
    time_point started_at_{};
    duration advanced_{0};
    duration next_heartbeat_{0};
    std::size_t printed_violations_ = 0;
};

} // namespace

} // namespace celerylift::test

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    try {
        celerylift::test::platform standin(docopt::docopt_parse(
            celerylift::test::usage, {argv + 1, argv + argc}, true, false));
        return standin.run();
    } catch (const docopt::DocoptExitHelp&) {
        fmt::print("{}", celerylift::test::usage);
        return 0;
    } catch (const std::exception& e) {
        fmt::print(stderr, "celerylift-platform-standin: {}\n", e.what());
        return 2;
    }
}
