#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace celerylift::test {

/// The near end of a ZeroMQ connection on loopback, without libzmq: it delays
/// messages, and resets connections, as a network does. All members throw
/// std::runtime_error if the connection ends early.
class raw_peer {
public:
    /// Connects to a listener under a routing id. The listener's process must
    /// be running.
    raw_peer(std::uint16_t port, const std::string& routing_id);

    /// Speaks for the accepting side on a descriptor.
    explicit raw_peer(int accepted);

    raw_peer(const raw_peer&) = delete;
    raw_peer& operator=(const raw_peer&) = delete;
    ~raw_peer();

    /// Waits for the other side's greeting.
    void shake_hands();

    void send_message(std::string_view bytes);
    /// Sends messages, each with a heartbeat of ZeroMQ behind it. Returns false
    /// if the other side takes no more.
    bool flood(std::string_view message, int messages);
    /// Waits for a message and returns it.
    std::string receive_message();

    void close();
    /// Closes the connection so that the other side sees a reset.
    void reset();

    /// The other side's routing id, from its greeting.
    const std::string& routing_id() const { return other_id_; }

private:
    void send_all(std::string_view bytes);
    std::string receive_exactly(std::size_t size);
    std::string receive_frame(bool& is_command);

    int descriptor_ = -1;
    std::string own_id_;
    std::string other_id_;
    bool listens_ = false;
};

/// A port on loopback that nobody listens on.
std::uint16_t find_free_port();

/// A listening descriptor on loopback and its port.
struct raw_listener {
    int descriptor = -1;
    std::uint16_t port = 0;
};
raw_listener listen_on_loopback();

/// Waits for a connection. Throws std::runtime_error after some seconds.
int accept_connection(const raw_listener& listener);

/// The number of this process's open descriptors.
int count_descriptors();

} // namespace celerylift::test
