#include "raw_peer.hpp"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <iterator>
#include <stdexcept>

namespace celerylift::test {

namespace {

constexpr int patience_ms = 5000;

// Frames of ZMTP 3.0.
constexpr char command_flag = 0x04;
constexpr char long_flag = 0x02;
constexpr std::size_t greeting_bytes = 64;
constexpr std::size_t max_short_frame = 255;

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

std::string big_endian(std::size_t value, int bytes) {
    std::string out;
    for (int i = bytes - 1; i >= 0; --i)
        out += static_cast<char>(value >> (8 * i) & 0xff);
    return out;
}

std::size_t from_big_endian(std::string_view bytes) {
    std::size_t value = 0;
    for (const char byte : bytes)
        value = value << 8 | static_cast<unsigned char>(byte);
    return value;
}

std::string frame_of(std::string_view body, char flags = 0) {
    if (body.size() > max_short_frame)
        return static_cast<char>(flags | long_flag) +
               big_endian(body.size(), 8) + std::string(body);
    return std::string(1, flags) + big_endian(body.size(), 1) +
           std::string(body);
}

std::string property(std::string_view name, std::string_view value) {
    return big_endian(name.size(), 1) + std::string(name) +
           big_endian(value.size(), 4) + std::string(value);
}

std::string greeting() {
    std::string text(greeting_bytes, '\0');
    text[0] = '\xff';
    text[9] = '\x7f';
    text[10] = 3;
    text.replace(12, 4, "NULL");
    return text;
}

/// A heartbeat without a time to live, as a peer of an earlier version sends.
std::string ping() {
    return frame_of(std::string("\4PING") + big_endian(0, 2), command_flag);
}

/// The value of a property in a READY command, or nothing.
std::string find_property(std::string_view ready, std::string_view wanted) {
    std::size_t at = 6; // Behind the command's name.
    while (at < ready.size()) {
        const auto name_size = from_big_endian(ready.substr(at, 1));
        const auto name = ready.substr(at + 1, name_size);
        at += 1 + name_size;
        const auto value_size = from_big_endian(ready.substr(at, 4));
        if (name == wanted)
            return std::string(ready.substr(at + 4, value_size));
        at += 4 + value_size;
    }
    return "";
}

bool wait_for(int descriptor, short events, int ms) {
    pollfd wanted{descriptor, events, 0};
    return poll(&wanted, 1, ms) > 0;
}

} // namespace

raw_peer::raw_peer(std::uint16_t port, const std::string& routing_id)
    : descriptor_(socket(AF_INET, SOCK_STREAM, 0)), own_id_(routing_id) {
    const auto address = loopback(port);
    if (::connect(descriptor_, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0)
        throw std::runtime_error("nobody listens on the port");
}

raw_peer::raw_peer(int accepted) : descriptor_(accepted), listens_(true) {}

raw_peer::~raw_peer() {
    close();
}

void raw_peer::close() {
    if (descriptor_ >= 0)
        ::close(descriptor_);
    descriptor_ = -1;
}

void raw_peer::reset() {
    const linger at_once{1, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close();
}

void raw_peer::shake_hands() {
    send_all(greeting());
    receive_exactly(greeting_bytes);
    const auto ready = std::string("\5READY") +
                       property("Socket-Type", listens_ ? "ROUTER" : "DEALER") +
                       property("Identity", own_id_);
    send_all(frame_of(ready, command_flag));
    bool is_command = false;
    other_id_ = find_property(receive_frame(is_command), "Identity");
}

void raw_peer::send_message(std::string_view bytes) {
    send_all(frame_of(bytes));
}

bool raw_peer::flood(std::string_view message, int messages) {
    std::string batch;
    for (int i = 0; i < 100; ++i)
        batch += frame_of(message) + ping();
    for (int sent = 0; sent < messages; sent += 100)
        for (std::string_view rest = batch; !rest.empty();) {
            if (!wait_for(descriptor_, POLLOUT, 500))
                return false;
            const auto size = send(descriptor_, rest.data(), rest.size(),
                                   MSG_NOSIGNAL | MSG_DONTWAIT);
            if (size < 0)
                return false;
            rest.remove_prefix(static_cast<std::size_t>(size));
        }
    return true;
}

std::string raw_peer::receive_message() {
    while (true) {
        bool is_command = false;
        auto body = receive_frame(is_command);
        if (!is_command)
            return body;
    }
}

void raw_peer::send_all(std::string_view bytes) {
    while (!bytes.empty()) {
        const auto size =
            send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size <= 0)
            throw std::runtime_error("the connection has ended");
        bytes.remove_prefix(static_cast<std::size_t>(size));
    }
}

std::string raw_peer::receive_exactly(std::size_t size) {
    std::string bytes(size, '\0');
    for (std::size_t got = 0; got < size;) {
        if (!wait_for(descriptor_, POLLIN, patience_ms))
            throw std::runtime_error("nothing has arrived");
        const auto part = recv(descriptor_, &bytes[got], size - got, 0);
        if (part <= 0)
            throw std::runtime_error("the connection has ended");
        got += static_cast<std::size_t>(part);
    }
    return bytes;
}

std::string raw_peer::receive_frame(bool& is_command) {
    const char flags = receive_exactly(1)[0];
    is_command = (flags & command_flag) != 0;
    const auto size = receive_exactly((flags & long_flag) != 0 ? 8 : 1);
    return receive_exactly(from_big_endian(size));
}

raw_listener listen_on_loopback() {
    raw_listener listener{socket(AF_INET, SOCK_STREAM, 0), 0};
    auto address = loopback(0);
    socklen_t size = sizeof address;
    if (bind(listener.descriptor, reinterpret_cast<sockaddr*>(&address),
             size) != 0 ||
        listen(listener.descriptor, 16) != 0 ||
        getsockname(listener.descriptor, reinterpret_cast<sockaddr*>(&address),
                    &size) != 0)
        throw std::runtime_error("cannot listen on loopback");
    listener.port = ntohs(address.sin_port);
    return listener;
}

int accept_connection(const raw_listener& listener) {
    if (!wait_for(listener.descriptor, POLLIN, patience_ms))
        throw std::runtime_error("nobody connects");
    return accept(listener.descriptor, nullptr, nullptr);
}

std::uint16_t find_free_port() {
    const auto listener = listen_on_loopback();
    ::close(listener.descriptor);
    return listener.port;
}

int count_descriptors() {
    return static_cast<int>(
        std::distance(std::filesystem::directory_iterator("/proc/self/fd"),
                      std::filesystem::directory_iterator{}));
}

} // namespace celerylift::test
