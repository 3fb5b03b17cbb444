#pragma once

#include <celerylift/base/settings_reader.hpp>
#include <celerylift/net/control_loop.hpp>

#include <google/protobuf/message_lite.h>
#include <zmq.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace celerylift::net {

/// The endpoint of a process for messages between celerylift processes. An
/// entry listens; entries and agents connect to entries. All members must be
/// called on the control loop's thread.
class message_node {
public:
    /// `from` is the peer's own name if the peer connected to this process,
    /// and otherwise the name passed to connect().
    using receiver =
        std::function<void(const std::string& from, std::string_view bytes)>;

    message_node(control_loop& loop, std::string name, receiver receive);

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

    /// Receives all messages that have arrived. ZeroMQ's descriptor is
    /// edge-triggered, so this also runs after each send and on each tick.
    void drain();

    std::uint64_t sent() const { return sent_; }
    std::uint64_t dropped() const { return dropped_; }
    std::uint64_t received() const { return received_; }
    std::uint64_t sent_bytes() const { return sent_bytes_; }

private:
    void drain(zmq::socket_t& socket, const std::string& peer);
    void watch_socket(zmq::socket_t& socket);

    control_loop& loop_;
    std::string name_;
    receiver receive_;
    zmq::context_t context_{1};
    std::optional<zmq::socket_t> router_;
    std::map<std::string, zmq::socket_t> dealers_;
    std::vector<std::map<std::string, zmq::socket_t>::node_type>
        closing_dealers_;
    bool draining_ = false;
    std::uint64_t sent_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t received_ = 0;
    std::uint64_t sent_bytes_ = 0;
    bool drain_posted_ = false;
};

} // namespace celerylift::net
