#include <celerylift/net/request_budget.hpp>

#include <algorithm>
#include <cassert>
#include <numeric>

namespace celerylift::net {

namespace {

/// What a connection occupies in libmicrohttpd while it sends a header.
constexpr std::size_t connection_bytes = 32UL * 1024;
/// With these, one request of the largest size is still served.
constexpr std::size_t min_budget_bytes = 8UL * 1024 * 1024;
constexpr std::int64_t min_connections = 16;
/// Descriptors that the platform reserves for files.
constexpr std::int64_t file_descriptors = 200;
/// Connections beyond the limit while others are being closed.
constexpr std::size_t closing_slack = 64;

/// A request that waits for the store exists as text, as a message and in the
/// calls that store it.
constexpr std::size_t copies_in_service = 5;
constexpr std::size_t min_service_bytes = 4096;
/// Requests above this size leave a part of the budget to smaller ones.
constexpr std::size_t small_service_bytes = 64UL * 1024;

std::size_t index_of(connection_phase phase) {
    return static_cast<std::size_t>(phase);
}

auto& in_phase(request_budget& budget, connection_phase phase) {
    return budget.connections[index_of(phase)];
}

std::size_t used_bytes(const request_budget& budget) {
    return std::accumulate(budget.bytes.begin(), budget.bytes.end(),
                           std::size_t{0});
}

void set_bytes(request_budget& budget, connection_ref connection,
               std::size_t bytes) {
    auto& sum = budget.bytes[index_of(connection->phase)];
    assert(sum >= connection->bytes);
    sum = sum - connection->bytes + bytes;
    connection->bytes = bytes;
}

void set_phase(request_budget& budget, connection_ref connection,
               connection_phase phase, time_point now) {
    const auto bytes = connection->bytes;
    set_bytes(budget, connection, 0);
    auto& from = in_phase(budget, connection->phase);
    auto& to = in_phase(budget, phase);
    to.splice(to.end(), from, connection);
    connection->phase = phase;
    connection->since = now;
    set_bytes(budget, connection, bytes);
}

void close(request_budget& budget, connection_ref connection, refusal why) {
    set_bytes(budget, connection, 0);
    connection->body = {};
    set_phase(budget, connection, connection_phase::closing, connection->since);
    budget.to_close.push_back(connection->socket);
    ++budget.refused[static_cast<std::size_t>(why)];
}

/// Closes connections until the budget holds, those with an incomplete request
/// first. `keep` stays if it is sending.
void make_room(request_budget& budget, connection_ref keep) {
    auto& receiving = in_phase(budget, connection_phase::receiving);
    auto& sending = in_phase(budget, connection_phase::sending);
    // A connection without bytes makes no room.
    for (auto it = receiving.begin();
         it != receiving.end() && used_bytes(budget) > budget.limits.max_bytes;)
        if (const auto next = it++; next->bytes > 0)
            close(budget, next, refusal::memory);
    for (auto it = sending.begin();
         it != sending.end() && used_bytes(budget) > budget.limits.max_bytes;)
        if (const auto next = it++; next != keep)
            close(budget, next, refusal::memory);
}

bool is_open(connection_ref connection) {
    return connection->phase != connection_phase::closing;
}

bool may_serve(const request_budget& budget, std::size_t cost) {
    const auto serving = index_of(connection_phase::serving);
    const auto max_bytes = cost > small_service_bytes
                               ? budget.limits.max_bytes / 2
                               : budget.limits.max_bytes / 4 * 3;
    return budget.bytes[serving] + cost <= max_bytes &&
           budget.connections[serving].size() <
               std::size_t{budget.limits.max_connections} / 4 * 3;
}

void close_overdue(request_budget& budget, connection_phase phase,
                   time_point now) {
    auto& connections = in_phase(budget, phase);
    while (!connections.empty() &&
           now - connections.front().since >= budget.limits.max_transfer_time)
        close(budget, connections.begin(), refusal::slow);
}

} // namespace

client_limits derive_client_limits(std::int64_t memory_mb,
                                   std::int64_t max_fds) {
    client_limits limits;
    const auto memory = static_cast<std::size_t>(memory_mb) * 1024 * 1024;
    limits.max_bytes = std::max(min_budget_bytes, memory / 6);
    const auto by_memory =
        static_cast<std::int64_t>(memory / 4 / connection_bytes);
    const auto by_descriptors = (max_fds - file_descriptors) / 2;
    limits.max_connections = static_cast<unsigned>(
        std::max(min_connections, std::min(by_memory, by_descriptors)));
    return limits;
}

std::size_t open_connections(const request_budget& budget) {
    std::size_t count = 0;
    for (const auto& connections : budget.connections)
        count += connections.size();
    return count;
}

bool may_accept(const request_budget& budget) {
    return open_connections(budget) <
           budget.limits.max_connections + closing_slack;
}

connection_ref add_connection(request_budget& budget, int socket,
                              time_point now) {
    auto& receiving = in_phase(budget, connection_phase::receiving);
    const auto closing = in_phase(budget, connection_phase::closing).size();
    if (open_connections(budget) - closing >= budget.limits.max_connections &&
        !receiving.empty())
        close(budget, receiving.begin(), refusal::connections);
    client_connection added;
    added.socket = socket;
    added.since = now;
    return receiving.insert(receiving.end(), std::move(added));
}

void remove_connection(request_budget& budget, connection_ref connection) {
    set_bytes(budget, connection, 0);
    in_phase(budget, connection->phase).erase(connection);
}

bool begin_request(request_budget& budget, connection_ref connection,
                   std::size_t header_bytes, time_point now) {
    if (!is_open(connection))
        return false;
    set_phase(budget, connection, connection_phase::receiving, now);
    connection->header_bytes = header_bytes;
    set_bytes(budget, connection, header_bytes);
    make_room(budget, connection);
    return is_open(connection);
}

bool append_body(request_budget& budget, connection_ref connection,
                 std::string_view part, std::size_t max_body_bytes) {
    if (!is_open(connection))
        return false;
    auto& body = connection->body;
    const auto size = body.size() + part.size();
    if (size > max_body_bytes) {
        close(budget, connection, refusal::too_large);
        return false;
    }
    if (size > body.capacity()) {
        const auto capacity =
            std::min(max_body_bytes, std::max(size, body.capacity() * 2));
        set_bytes(budget, connection, connection->header_bytes + capacity);
        make_room(budget, connection);
        if (!is_open(connection))
            return false;
        body.reserve(capacity);
    }
    body += part;
    return true;
}

bool begin_serving(request_budget& budget, connection_ref connection,
                   time_point now) {
    const auto cost = min_service_bytes + connection->header_bytes +
                      copies_in_service * connection->body.size();
    if (!is_open(connection))
        return false;
    if (!may_serve(budget, cost)) {
        set_bytes(budget, connection, 0);
        connection->body = {};
        ++budget.refused[static_cast<std::size_t>(refusal::busy)];
        return false;
    }
    set_phase(budget, connection, connection_phase::serving, now);
    set_bytes(budget, connection, cost);
    make_room(budget, connection);
    return true;
}

void begin_sending(request_budget& budget, connection_ref connection,
                   std::size_t response_bytes, time_point now) {
    if (!is_open(connection))
        return;
    connection->body = {};
    set_phase(budget, connection, connection_phase::sending, now);
    set_bytes(budget, connection, response_bytes);
    make_room(budget, connection);
}

void end_request(request_budget& budget, connection_ref connection,
                 time_point now) {
    if (!is_open(connection))
        return;
    connection->body = {};
    connection->header_bytes = 0;
    set_phase(budget, connection, connection_phase::receiving, now);
    set_bytes(budget, connection, 0);
}

void close_overdue(request_budget& budget, time_point now) {
    close_overdue(budget, connection_phase::receiving, now);
    close_overdue(budget, connection_phase::sending, now);
}

} // namespace celerylift::net
