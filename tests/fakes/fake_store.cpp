#include "fake_store.hpp"

namespace celerylift::fakes {

using protocol::store_op;
using protocol::store_reply;
using protocol::store_request;
using protocol::store_status;

namespace {
constexpr std::size_t remembered_changes = 10'000;
}

store_reply fake_store::apply(const store_request& request, time_point now) {
    expire(now);
    store_reply reply;
    reply.id = request.id;
    reply.status = store_status::ok;
    switch (request.op) {
    case store_op::get: {
        ++reads_;
        auto it = keys_.find(request.key);
        reply.status =
            it == keys_.end() ? store_status::not_found : store_status::ok;
        if (it != keys_.end()) {
            reply.value = it->second.value;
            reply.revision = it->second.revision;
        }
        return reply;
    }
    case store_op::put:
        ++writes_;
        return put(request);
    case store_op::remove:
        ++writes_;
        return remove(request);
    case store_op::grant_lease:
        ++writes_;
        reply.lease = next_lease_++;
        leases_[reply.lease] = {now + request.ttl, request.ttl};
        return reply;
    case store_op::renew_lease:
        ++writes_;
        return renew(request, now);
    case store_op::revoke_lease:
        ++writes_;
        if (auto it = leases_.find(request.lease); it != leases_.end())
            it->second.until = now;
        expire(now);
        return reply;
    }
    return reply;
}

store_reply fake_store::put(const store_request& request) {
    store_reply reply;
    reply.id = request.id;
    auto it = keys_.find(request.key);
    const auto current = it == keys_.end() ? 0 : it->second.revision;
    const bool lease_lapsed =
        request.lease != 0 && !leases_.contains(request.lease);
    if (current != request.expected_revision || lease_lapsed) {
        reply.status = store_status::conflict;
        reply.revision = current;
        return reply;
    }
    bytes_written_ += request.value.size();
    keys_[request.key] = {request.value, ++revision_, request.lease};
    changes_.push_back({request.key, request.value, revision_, false});
    if (changes_.size() > remembered_changes)
        changes_.erase(changes_.begin());
    reply.status = store_status::ok;
    reply.revision = revision_;
    return reply;
}

store_reply fake_store::remove(const store_request& request) {
    store_reply reply;
    reply.id = request.id;
    auto it = keys_.find(request.key);
    if (it == keys_.end()) {
        reply.status = store_status::not_found;
        return reply;
    }
    if (it->second.revision != request.expected_revision) {
        reply.status = store_status::conflict;
        return reply;
    }
    remove_key(request.key);
    reply.status = store_status::ok;
    reply.revision = revision_;
    return reply;
}

store_reply fake_store::renew(const store_request& request, time_point now) {
    store_reply reply;
    reply.id = request.id;
    auto it = leases_.find(request.lease);
    if (it == leases_.end()) {
        reply.status = store_status::not_found;
        return reply;
    }
    it->second.until = now + it->second.ttl;
    reply.status = store_status::ok;
    return reply;
}

void fake_store::remove_key(const std::string& key) {
    keys_.erase(key);
    changes_.push_back({key, {}, ++revision_, true});
}

void fake_store::expire_leases(time_point now) {
    for (auto& [id, l] : leases_)
        l.until = now;
    expire(now);
}

void fake_store::expire(time_point now) {
    for (auto it = leases_.begin(); it != leases_.end();) {
        if (it->second.until > now) {
            ++it;
            continue;
        }
        std::vector<std::string> bound;
        for (const auto& [key, s] : keys_) {
            if (s.lease == it->first)
                bound.push_back(key);
        }
        for (const auto& key : bound)
            remove_key(key);
        it = leases_.erase(it);
    }
}

std::vector<protocol::watch_event>
fake_store::changes_after(const std::string& prefix,
                          std::int64_t revision) const {
    std::vector<protocol::watch_event> found;
    for (const auto& change : changes_) {
        if (change.revision > revision && change.key.starts_with(prefix))
            found.push_back(change);
    }
    return found;
}

std::vector<protocol::watch_event>
fake_store::snapshot(const std::string& prefix) const {
    std::vector<protocol::watch_event> found;
    for (const auto& [key, s] : keys_) {
        if (key.starts_with(prefix))
            found.push_back({key, s.value, s.revision, false});
    }
    return found;
}

} // namespace celerylift::fakes
