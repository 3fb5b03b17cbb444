#include <celerylift/net/message_node.hpp>

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <utility>
#include <vector>

namespace celerylift::net {

namespace {

constexpr int max_queued_messages = 10'000;
constexpr int linger_ms = 200;
constexpr std::int64_t max_message_bytes = 8L * 1024 * 1024;

/// An attempt to connect is given up after this time, and up to half as long
/// again. It doubles with each attempt that fails.
constexpr duration min_attempt_timeout{150};
constexpr duration max_attempt_timeout{700};
/// After a connection was lost, the next attempt is made this much later.
constexpr duration reconnect_delay{50};

/// A connection on which nothing has arrived for the period is probed. Without
/// an answer within the timeout it is replaced, because a peer can become
/// unreachable without closing it.
constexpr duration probe_period{1000};
constexpr duration probe_timeout{1500};
/// After this many connections without an answer to the first probe, one is
/// tried that has the process's name for its routing id.
constexpr int max_unanswered_connections = 3;

constexpr duration min_check_delay{1};
constexpr duration forgetting_period{60'000};

/// Closes connections whose peer is gone without a word. The peer has replaced
/// them by then.
constexpr int keepalive_idle_s = 2;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_count = 3;
constexpr int unacknowledged_timeout_ms = 5000;
constexpr int handshake_timeout_ms = 5000;

void set_socket_options(zmq::socket_t& socket) {
    socket.set(zmq::sockopt::linger, linger_ms);
    socket.set(zmq::sockopt::sndhwm, max_queued_messages);
    socket.set(zmq::sockopt::maxmsgsize, max_message_bytes);
    // libzmq 4.3.4 aborts the process when it sends or answers a heartbeat on a
    // connection that was reset while a received message could not be handed
    // on (`Assertion failed: !_io_error`). So its own heartbeats stay off, and
    // the receive queue has no limit: peers of earlier versions send theirs.
    // What peers send is paced, and drain() reads all of it.
    socket.set(zmq::sockopt::rcvhwm, 0);
    socket.set(zmq::sockopt::tcp_keepalive, 1);
    socket.set(zmq::sockopt::tcp_keepalive_idle, keepalive_idle_s);
    socket.set(zmq::sockopt::tcp_keepalive_intvl, keepalive_interval_s);
    socket.set(zmq::sockopt::tcp_keepalive_cnt, keepalive_count);
    socket.set(zmq::sockopt::tcp_maxrt, unacknowledged_timeout_ms);
    socket.set(zmq::sockopt::handshake_ivl, handshake_timeout_ms);
}

bool is_writable(zmq::socket_t& socket) {
    return (socket.get(zmq::sockopt::events) & ZMQ_POLLOUT) != 0;
}

bool is_readable(zmq::socket_t& socket) {
    return (socket.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0;
}

bool send_frame(zmq::socket_t& socket, std::string_view bytes,
                zmq::send_flags flags = zmq::send_flags::none) {
    return socket.send(zmq::buffer(bytes), flags | zmq::send_flags::dontwait)
        .has_value();
}

/// Reads the rest of a message of which only the first frame is of use.
void skip_frames(zmq::socket_t& socket, bool more) {
    zmq::message_t frame;
    while (more && socket.recv(frame, zmq::recv_flags::dontwait))
        more = frame.more();
}

} // namespace

message_node::message_node(control_loop& loop, std::string name,
                           receiver receive)
    : loop_(loop), name_(std::move(name)), receive_(std::move(receive)),
      started_unix_ms_(wall_now_ms()),
      random_(static_cast<std::uint32_t>(std::hash<std::string>{}(name_))) {}

void message_node::watch_socket(zmq::socket_t& socket) {
    loop_.watch(socket.get(zmq::sockopt::fd), [this] { drain(); });
}

void message_node::listen(const base::address& at) {
    router_.emplace(context_, zmq::socket_type::router);
    set_socket_options(*router_);
    // A process of an earlier version reconnects under the same routing id.
    router_->set(zmq::sockopt::router_handover, true);
    router_->bind(fmt::format("tcp://{}", to_string(at)));
    watch_socket(*router_);
}

void message_node::connect(const std::string& peer, const base::address& at) {
    auto [it, added] = links_.try_emplace(peer);
    if (!added)
        return;
    it->second.at = at;
    it->second.attempt_timeout = min_attempt_timeout;
    open(it->second);
    post_drain();
}

void message_node::disconnect(const std::string& peer) {
    auto it = links_.find(peer);
    if (it == links_.end())
        return;
    close(it->second);
    links_.erase(it);
}

duration message_node::spread(duration wait) {
    return wait + duration{std::uniform_int_distribution<duration::rep>{
                      0, wait.count() / 2}(random_)};
}

/// Opens a connection with a routing id that has not been used before.
void message_node::open(link& link) {
    link.give_up_at = monotonic_now() + spread(link.attempt_timeout);
    auto& socket = link.socket.emplace(context_, zmq::socket_type::dealer);
    set_socket_options(socket);
    const connection_id id{name_, started_unix_ms_, ++last_connection_};
    socket.set(zmq::sockopt::routing_id,
               link.is_numbered ? to_string(id) : name_);
    // Queue nothing for an unreachable peer: late commands are of no use.
    socket.set(zmq::sockopt::immediate, true);
    // ZeroMQ would reconnect under the same routing id.
    socket.set(zmq::sockopt::reconnect_ivl, -1);
    socket.connect(fmt::format("tcp://{}", to_string(link.at)));
    watch_socket(socket);
    link.is_confirmed = !link.is_numbered;
}

void message_node::close(link& link) {
    if (link.socket) {
        loop_.unwatch(link.socket->get(zmq::sockopt::fd));
        link.socket->set(zmq::sockopt::linger, 0);
        // A receiver may close the connection that is being read.
        closing_sockets_.push_back(std::move(*link.socket));
        link.socket.reset();
        if (!draining_)
            closing_sockets_.clear();
    }
    link.is_connected = false;
    link.is_confirmed = false;
    link.probe_sent_at.reset();
}

void message_node::lose(link& link, time_point now) {
    ++lost_;
    close(link);
    link.is_numbered = true;
    link.connect_at = now + spread(reconnect_delay);
}

void message_node::probe(link& link, time_point now) {
    link.probe_sent_at = now;
    send_frame(*link.socket, {});
    post_drain();
}

void message_node::maintain(link& link, time_point now) {
    if (!link.socket) {
        if (now >= link.connect_at)
            open(link);
        return;
    }
    const bool has_connection = is_writable(*link.socket);
    if (!link.is_connected && !has_connection) {
        if (now < link.give_up_at)
            return;
        link.attempt_timeout =
            std::min(link.attempt_timeout * 2, max_attempt_timeout);
        close(link);
        return open(link);
    }
    if (!has_connection)
        return lose(link, now);
    if (!link.is_connected) {
        link.is_connected = true;
        link.last_message_at = now;
        link.attempt_timeout = min_attempt_timeout;
    }
    if (!link.is_numbered)
        return; // A peer of an earlier version returns no probes.
    if (!link.probe_sent_at) {
        if (!link.is_confirmed || now >= link.last_message_at + probe_period)
            probe(link, now);
        return;
    }
    if (now < *link.probe_sent_at + probe_timeout)
        return;
    const bool was_confirmed = link.is_confirmed;
    lose(link, now);
    if (!was_confirmed &&
        ++link.unanswered_connections >= max_unanswered_connections) {
        link.unanswered_connections = 0;
        link.is_numbered = false;
    }
}

std::optional<time_point> message_node::next_check(const link& link) {
    if (!link.socket)
        return link.connect_at;
    if (!link.is_connected)
        return link.give_up_at;
    if (!link.is_numbered)
        return std::nullopt;
    return link.probe_sent_at ? *link.probe_sent_at + probe_timeout
                              : link.last_message_at + probe_period;
}

void message_node::schedule_check(time_point now) {
    std::optional<time_point> next;
    for (const auto& [peer, link] : links_)
        if (const auto at = next_check(link); at && (!next || *at < *next))
            next = at;
    // A check that comes too early does no harm, and most times only rise.
    if (!timers_ || !next || (check_at_ && *check_at_ <= *next))
        return;
    if (check_at_)
        timers_->cancel(check_timer_);
    check_at_ = next;
    check_timer_ =
        timers_->once(boottime_now() + std::max(*next - now, min_check_delay),
                      [this](time_point) {
                          check_at_.reset();
                          drain();
                      });
}

void message_node::post_drain() {
    if (std::exchange(drain_posted_, true))
        return;
    loop_.post([this] {
        drain_posted_ = false;
        drain();
    });
}

bool message_node::send_to_process(const std::string& process,
                                   const std::string& bytes) {
    const auto known = processes_.find(process);
    return router_ && known != processes_.end() &&
           send_frame(*router_, to_string(known->second.newest),
                      zmq::send_flags::sndmore) &&
           send_frame(*router_, bytes);
}

void message_node::send(const std::string& to,
                        const google::protobuf::MessageLite& message) {
    const auto bytes = message.SerializeAsString();
    bool sent = false;
    try {
        if (auto it = links_.find(to); it != links_.end())
            sent = it->second.is_confirmed &&
                   send_frame(*it->second.socket, bytes);
        else
            sent = send_to_process(to, bytes);
    } catch (const zmq::error_t&) {
        sent = false; // The peer is unreachable.
    }
    // A send may consume the edge that signals a received message.
    post_drain();
    if (!sent) {
        ++dropped_;
        return;
    }
    ++sent_;
    sent_bytes_ += bytes.size();
}

void message_node::handle_link_message(const std::string& peer, link& link,
                                       std::string_view bytes) {
    link.last_message_at = monotonic_now();
    link.probe_sent_at.reset();
    if (link.is_confirmed) {
        if (bytes.empty())
            return;
        ++received_;
        return receive_(peer, bytes);
    }
    link.unanswered_connections = 0;
    if (bytes.empty()) {
        link.is_confirmed = true;
        return;
    }
    // A listener of an earlier version has answered the probe in its own way.
    close(link);
    link.is_numbered = false;
    open(link);
}

/// Receives a message of a link. Returns whether there may be more.
bool message_node::receive_one(const std::string& peer) {
    const auto it = links_.find(peer);
    if (it == links_.end() || !it->second.socket ||
        !is_readable(*it->second.socket))
        return false;
    zmq::message_t frame;
    auto& socket = *it->second.socket;
    if (!socket.recv(frame, zmq::recv_flags::dontwait))
        return false;
    skip_frames(socket, frame.more());
    handle_link_message(peer, it->second, frame.to_string_view());
    return closing_sockets_.empty(); // It may be this socket.
}

void message_node::handle_router_message(const std::string& routing_id,
                                         std::string_view bytes) {
    const auto id = parse_connection_id(routing_id);
    if (!accept_message(processes_, id, monotonic_now())) {
        ++superseded_;
        return;
    }
    if (bytes.empty() && is_numbered(id)) {
        send_to_process(id.process, "");
        return post_drain();
    }
    ++received_;
    receive_(id.process, bytes);
}

void message_node::drain_router() {
    while (is_readable(*router_)) {
        zmq::message_t routing_id;
        zmq::message_t frame;
        if (!router_->recv(routing_id, zmq::recv_flags::dontwait))
            return;
        if (!routing_id.more() ||
            !router_->recv(frame, zmq::recv_flags::dontwait))
            continue;
        skip_frames(*router_, frame.more());
        handle_router_message(routing_id.to_string(), frame.to_string_view());
    }
}

void message_node::drain() {
    if (draining_)
        return;
    draining_ = true;
    if (router_)
        drain_router();
    // A receiver may connect or disconnect, so iterate over a copy.
    std::vector<std::string> peers;
    for (const auto& [peer, link] : links_)
        peers.push_back(peer);
    for (const auto& peer : peers)
        while (receive_one(peer))
            continue;
    const auto now = monotonic_now();
    for (auto& [peer, link] : links_)
        maintain(link, now);
    if (now >= next_forgetting_) {
        forget_silent_processes(processes_, now);
        next_forgetting_ = now + forgetting_period;
    }
    schedule_check(now);
    draining_ = false;
    if (std::exchange(closing_sockets_, {}).empty())
        return;
    post_drain();
}

} // namespace celerylift::net
