#pragma once

#include <celerylift/protocol/platform_calls.hpp>

#include <wire.pb.h>

#include <string>
#include <vector>

namespace celerylift::protocol {

/// A message and the process that receives it.
struct message {
    std::string to;
    wire::Envelope envelope;
};

/// Actions that one protocol step requests from its process. The protocol
/// itself performs no input or output.
struct outbox {
    std::vector<message> messages;
    std::vector<store_request> store;
    std::vector<worker_request> worker;
    std::vector<backend_request> backend;
    std::vector<wire::ApiReply> replies; // For callers of this process.
    std::size_t matched_replies = 0;     // Replies whose caller still waits.
};

} // namespace celerylift::protocol
