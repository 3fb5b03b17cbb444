#pragma once

#include <celerylift/protocol/platform_calls.hpp>

#include <wire.pb.h>

#include <string>
#include <vector>

namespace celerylift::protocol {

struct message {
    std::string to;
    wire::Envelope envelope;
};

/// What a step of the protocol asks its process to do. The protocol itself
/// performs no input or output.
struct outbox {
    std::vector<message> messages;
    std::vector<store_request> store;
    std::vector<worker_request> worker;
    std::vector<backend_request> backend;
    std::vector<wire::ApiReply> replies; // To callers of this process.
    std::size_t matched_replies = 0;     // Those with a waiting caller.
};

} // namespace celerylift::protocol
