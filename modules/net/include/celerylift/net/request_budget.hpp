#pragma once

#include <celerylift/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <vector>

namespace celerylift::net {

/// What all HTTP clients of a process may hold together.
struct client_limits {
    /// Request bodies and header fields that are received or served, and
    /// response bodies that are sent, in bytes.
    std::size_t max_bytes = 40UL * 1024 * 1024;
    unsigned max_connections = 1950;
    /// How long a request may take to arrive: its header, its body; and how
    /// long a response may take to be read.
    duration max_transfer_time{60'000};

    bool operator==(const client_limits&) const = default;
};

/// The limits for a process that may use this much memory and this many
/// descriptors. The rest of both is left to the process itself.
client_limits derive_client_limits(std::int64_t memory_mb,
                                   std::int64_t max_fds);

enum class connection_phase : std::uint8_t {
    receiving, // Idle, or its request is incomplete.
    serving,   // Its request waits for a response.
    sending,   // Its response is being sent.
    closing,   // It is told to close and holds nothing any more.
};

struct client_connection {
    int socket = -1;
    connection_phase phase = connection_phase::receiving;
    time_point since{};    // Of this phase, or of the request in it.
    std::size_t bytes = 0; // Its share of the budget.
    std::size_t header_bytes = 0;
    std::string body;
};

/// Why a client was refused.
enum class refusal : std::uint8_t {
    connections, // Closed in favour of a newer connection, or not accepted.
    memory,      // Closed before its request was complete, to make room.
    slow,        // Closed because a transfer took too long.
    too_large,   // 413, or closed while it sent more than announced.
    busy,        // 503, because too much waits already.
};
constexpr std::size_t refusal_kinds = 5;

/// The connections of a process, and what they hold.
struct request_budget {
    client_limits limits;
    /// By phase; the connection that has been in it longest is first.
    std::array<std::list<client_connection>, 4> connections;
    std::array<std::size_t, 4> bytes{}; // By phase.
    std::array<std::uint64_t, refusal_kinds> refused{};
    /// Sockets that the caller has to shut down.
    std::vector<int> to_close;
};

/// Remains valid until the connection is removed.
using connection_ref = std::list<client_connection>::iterator;

std::size_t open_connections(const request_budget& budget);

/// Whether another connection may be accepted. Some are beyond the limit while
/// the ones that they replace are being closed.
bool may_accept(const request_budget& budget);

/// Adds a connection. At the limit, the one that has been without a complete
/// request for longest is closed.
connection_ref add_connection(request_budget& budget, int socket,
                              time_point now);

void remove_connection(request_budget& budget, connection_ref connection);

/// The header has arrived; it occupies this many bytes. Returns whether the
/// connection is still open.
bool begin_request(request_budget& budget, connection_ref connection,
                   std::size_t header_bytes, time_point now);

/// Adds a part of a body of at most `max_body_bytes`. Returns whether the
/// connection is still open; requests that have been incomplete for longest are
/// closed to make room.
bool append_body(request_budget& budget, connection_ref connection,
                 std::string_view part, std::size_t max_body_bytes);

/// The request is complete. Returns whether it may be served; if it may not,
/// its body is dropped.
bool begin_serving(request_budget& budget, connection_ref connection,
                   time_point now);

/// A response of this many bytes is ready.
void begin_sending(request_budget& budget, connection_ref connection,
                   std::size_t response_bytes, time_point now);

/// The response has been sent; the connection may send another request.
void end_request(request_budget& budget, connection_ref connection,
                 time_point now);

/// Closes connections whose transfer takes too long.
void close_overdue(request_budget& budget, time_point now);

} // namespace celerylift::net
