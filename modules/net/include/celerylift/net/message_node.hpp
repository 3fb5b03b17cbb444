#pragma once

#include <celerylift/base/settings_reader.hpp>
#include <celerylift/base/timer_service.hpp>
#include <celerylift/net/control_loop.hpp>
#include <celerylift/net/peer_connections.hpp>

#include <google/protobuf/message_lite.h>
#include <zmq.hpp>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace celerylift::net {

/// The endpoint of a process for messages between celerylift processes. An
/// entry listens; entries and agents connect to entries. All members must be
/// called on the control loop's thread.
///
/// Each connection has a routing id of its own, so that a listener can tell
/// which one is the newest of a process. An empty message is a probe, which the
/// listener returns: the first one shows that it reads such ids, later ones
/// that the connection is alive. A listener of an earlier version takes the
/// routing id for the process's name, and gets the name alone.
class message_node {
public:
    /// `from` is the peer's own name if the peer connected to this process,
    /// and otherwise the name passed to connect().
    using receiver =
        std::function<void(const std::string& from, std::string_view bytes)>;

    message_node(control_loop& loop, std::string name, receiver receive);

    /// Lets timers call drain() when a connection has to be opened or probed.
    /// Without them it must be called some twenty times a second. The time of
    /// the service is boottime_now().
    void use_timers(base::timer_service& timers) { timers_ = &timers; }

    /// Throws zmq::error_t if it cannot listen on the address.
    void listen(const base::address& at);

    /// Does nothing if a connection of that name exists.
    void connect(const std::string& peer, const base::address& at);

    /// Closes a connection and drops the messages queued for it.
    void disconnect(const std::string& peer);

    /// Sends through the connection to that peer or, without one, to the peer
    /// that connected under that name. Drops a message that cannot be sent at
    /// once: the protocol retransmits where delivery matters.
    void send(const std::string& to,
              const google::protobuf::MessageLite& message);

    /// Receives all messages that have arrived, and replaces connections that
    /// are lost. ZeroMQ's descriptor is edge-triggered, so this also runs after
    /// each send.
    void drain();

    std::uint64_t sent() const { return sent_; }
    std::uint64_t dropped() const { return dropped_; }
    std::uint64_t received() const { return received_; }
    std::uint64_t sent_bytes() const { return sent_bytes_; }
    /// Messages that arrived on a connection after a newer one of its process.
    std::uint64_t superseded() const { return superseded_; }
    /// Connections that were lost after they had been established.
    std::uint64_t lost() const { return lost_; }

private:
    /// A connection to a listener, and its replacements.
    struct link {
        base::address at;
        /// Nothing while the link waits to be connected again.
        std::optional<zmq::socket_t> socket;
        bool is_numbered = true;
        bool is_connected = false;
        bool is_confirmed = false; // Messages may be sent.
        time_point connect_at{};   // The next attempt, without a socket.
        time_point give_up_at{};   // The current attempt.
        duration attempt_timeout{};
        time_point last_message_at{};
        std::optional<time_point> probe_sent_at; // Not answered yet.
        int unanswered_connections = 0;
    };

    /// Adds up to a half, so that processes do not reconnect together.
    duration spread(duration wait);
    void open(link& link);
    void close(link& link);
    void probe(link& link, time_point now);
    void maintain(link& link, time_point now);
    /// When the link has to be maintained next; nothing if no time tells.
    static std::optional<time_point> next_check(const link& link);
    void schedule_check(time_point now);
    void lose(link& link, time_point now);
    bool receive_one(const std::string& peer);
    void handle_link_message(const std::string& peer, link& link,
                             std::string_view bytes);
    void drain_router();
    void handle_router_message(const std::string& routing_id,
                               std::string_view bytes);
    bool send_to_process(const std::string& process, const std::string& bytes);
    void post_drain();
    void watch_socket(zmq::socket_t& socket);

    control_loop& loop_;
    base::timer_service* timers_ = nullptr;
    base::timer_service::subscription check_timer_ = 0;
    std::optional<time_point> check_at_; // By monotonic_now().
    std::string name_;
    receiver receive_;
    zmq::context_t context_{1};
    std::optional<zmq::socket_t> router_;
    std::map<std::string, link> links_;
    known_processes processes_; // That have connected to this one.
    time_point next_forgetting_{};
    std::int64_t started_unix_ms_;
    std::minstd_rand random_;
    std::int64_t last_connection_ = 0;
    std::vector<zmq::socket_t> closing_sockets_;
    bool draining_ = false;
    std::uint64_t sent_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t received_ = 0;
    std::uint64_t sent_bytes_ = 0;
    std::uint64_t superseded_ = 0;
    std::uint64_t lost_ = 0;
    bool drain_posted_ = false;
};

} // namespace celerylift::net
