#include <celerylift/net/message_node.hpp>

#include <fmt/format.h>
#include <utility>
#include <vector>

namespace celerylift::net {

namespace {

constexpr int max_queued_messages = 10'000;
constexpr int linger_ms = 200;
constexpr int min_reconnect_delay_ms = 50;
constexpr int max_reconnect_delay_ms = 1000;
/// Idle connections carry ZeroMQ heartbeats. A connection that stays silent
/// for the timeout is reopened, because a peer can become unreachable without
/// closing it.
constexpr int heartbeat_period_ms = 1000;
constexpr int heartbeat_timeout_ms = 2500;
constexpr std::int64_t max_message_bytes = 8L * 1024 * 1024;

void set_socket_options(zmq::socket_t& socket) {
    socket.set(zmq::sockopt::linger, linger_ms);
    socket.set(zmq::sockopt::sndhwm, max_queued_messages);
    socket.set(zmq::sockopt::rcvhwm, max_queued_messages);
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeat_period_ms);
    socket.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout_ms);
    socket.set(zmq::sockopt::maxmsgsize, max_message_bytes);
}

} // namespace

message_node::message_node(control_loop& loop, std::string name,
                           receiver receive)
    : loop_(loop), name_(std::move(name)), receive_(std::move(receive)) {}

void message_node::watch_socket(zmq::socket_t& socket) {
    loop_.watch(socket.get(zmq::sockopt::fd), [this] { drain(); });
}

void message_node::listen(const base::address& at) {
    router_.emplace(context_, zmq::socket_type::router);
    set_socket_options(*router_);
    // A restarted process takes over the routing id of its old connection.
    router_->set(zmq::sockopt::router_handover, true);
    router_->bind(fmt::format("tcp://{}", to_string(at)));
    watch_socket(*router_);
}

void message_node::connect(const std::string& peer, const base::address& at) {
    auto [it, added] =
        dealers_.try_emplace(peer, context_, zmq::socket_type::dealer);
    if (!added)
        return;
    auto& socket = it->second;
    set_socket_options(socket);
    socket.set(zmq::sockopt::routing_id, name_);
    // Queue nothing for an unreachable peer: late commands are of no use.
    socket.set(zmq::sockopt::immediate, true);
    socket.set(zmq::sockopt::reconnect_ivl, min_reconnect_delay_ms);
    socket.set(zmq::sockopt::reconnect_ivl_max, max_reconnect_delay_ms);
    socket.connect(fmt::format("tcp://{}", to_string(at)));
    watch_socket(socket);
}

void message_node::disconnect(const std::string& peer) {
    auto it = dealers_.find(peer);
    if (it == dealers_.end())
        return;
    loop_.unwatch(it->second.get(zmq::sockopt::fd));
    it->second.set(zmq::sockopt::linger, 0);
    // A receiver may close the connection that is being read.
    closing_dealers_.push_back(dealers_.extract(it));
    if (!draining_)
        closing_dealers_.clear();
}

void message_node::send(const std::string& to,
                        const google::protobuf::MessageLite& message) {
    const auto bytes = message.SerializeAsString();
    bool sent = false;
    try {
        if (auto it = dealers_.find(to); it != dealers_.end()) {
            sent =
                it->second.send(zmq::buffer(bytes), zmq::send_flags::dontwait)
                    .has_value();
        } else if (router_) {
            const auto flags =
                zmq::send_flags::sndmore | zmq::send_flags::dontwait;
            sent = router_->send(zmq::buffer(to), flags).has_value() &&
                   router_->send(zmq::buffer(bytes), zmq::send_flags::dontwait)
                       .has_value();
        }
    } catch (const zmq::error_t&) {
        sent = false; // The peer is unreachable.
    }
    if (!sent) {
        ++dropped_;
        return;
    }
    ++sent_;
    sent_bytes_ += bytes.size();
    // A send may consume the edge that signals a received message.
    if (std::exchange(drain_posted_, true))
        return;
    loop_.post([this] {
        drain_posted_ = false;
        drain();
    });
}

void message_node::drain(zmq::socket_t& socket, const std::string& peer) {
    while (socket.get(zmq::sockopt::events) & ZMQ_POLLIN) {
        std::string from = peer;
        zmq::message_t frame;
        if (!socket.recv(frame, zmq::recv_flags::dontwait))
            return;
        if (peer.empty()) {
            from = frame.to_string();
            if (!frame.more() || !socket.recv(frame, zmq::recv_flags::dontwait))
                continue;
        }
        while (frame.more() && socket.recv(frame, zmq::recv_flags::dontwait))
            continue;
        ++received_;
        receive_(from, frame.to_string_view());
        if (!closing_dealers_.empty())
            return; // It may be this socket. drain() is posted again.
    }
}

void message_node::drain() {
    if (draining_)
        return;
    draining_ = true;
    if (router_)
        drain(*router_, "");
    // A receiver may connect or disconnect, so iterate over a copy.
    std::vector<std::string> peers;
    for (const auto& [peer, socket] : dealers_)
        peers.push_back(peer);
    for (const auto& peer : peers)
        if (auto it = dealers_.find(peer); it != dealers_.end())
            drain(it->second, peer);
    draining_ = false;
    if (std::exchange(closing_dealers_, {}).empty())
        return;
    loop_.post([this] { drain(); });
}

} // namespace celerylift::net
