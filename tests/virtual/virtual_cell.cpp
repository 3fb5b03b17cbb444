#include "virtual_cell.hpp"

#include <celerylift/protocol/timing.hpp>

#include <algorithm>
#include <fmt/format.h>

namespace celerylift::fakes {

using namespace protocol;

namespace {

constexpr duration link_latency{2};
constexpr duration store_latency{5};
constexpr duration slow_store_latency{800};
constexpr duration platform_latency{2};
constexpr duration watch_period{10};
constexpr duration announce_period{1000};
constexpr duration announce_ttl{3000};
constexpr std::int64_t first_wall_ms = 1'000'000;
const std::string cell_name = "cell-a";

} // namespace

virtual_cell::virtual_cell(cell_size size) : size_(size) {
    now_ = time_point{duration{1000}};
    for (int i = 1; i <= size_.entries; ++i)
        start_entry(fmt::format("entry-{}", i));
    for (int i = 1; i <= size_.agents; ++i) {
        const auto name = fmt::format("agent-{}", i);
        workers_.emplace(name, fake_worker(size_.accelerators));
        backends_.emplace(name, fake_backend{});
        start_agent(name);
    }
}

std::int64_t virtual_cell::wall_ms() const {
    return first_wall_ms + now_.time_since_epoch().count();
}

void virtual_cell::at(time_point when, std::function<void()> what) {
    queue_.emplace(std::pair{when, order_++}, std::move(what));
}

void virtual_cell::to_process(const std::string& name,
                              std::uint64_t incarnation,
                              std::function<void()> what) {
    auto it = processes_.find(name);
    if (it == processes_.end() || !it->second.up ||
        it->second.incarnation != incarnation)
        return;
    if (it->second.paused)
        it->second.backlog.push_back(std::move(what));
    else
        what();
}

void virtual_cell::run_for(duration time) {
    const auto end = now_ + time;
    while (!queue_.empty() && queue_.begin()->first.first <= end) {
        auto node = queue_.extract(queue_.begin());
        now_ = node.key().first;
        node.mapped()();
    }
    now_ = end;
}

bool virtual_cell::run_until(const std::function<bool()>& condition,
                             duration limit) {
    const auto end = now_ + limit;
    while (!condition()) {
        if (queue_.empty() || queue_.begin()->first.first > end)
            return false;
        auto node = queue_.extract(queue_.begin());
        now_ = node.key().first;
        node.mapped()();
    }
    return true;
}

// ---- Processes ----

template <class Step>
void virtual_cell::in_entry(const std::string& name, Step step) {
    auto& p = processes_.at(name);
    outbox out;
    step(entry_context{*p.entry, out, now_, wall_ms()});
    perform(name, std::move(out));
}

template <class Step>
void virtual_cell::in_agent(const std::string& name, Step step) {
    auto& p = processes_.at(name);
    outbox out;
    step(agent_context{*p.agent, p.log, out, now_, wall_ms()});
    perform(name, std::move(out));
}

void virtual_cell::start_entry(const std::string& name) {
    auto& p = processes_[name];
    entry_settings settings;
    settings.name = name;
    settings.cell = cell_name;
    for (int i = 1; i <= size_.entries; ++i) {
        if (const auto peer = fmt::format("entry-{}", i); peer != name)
            settings.peers.push_back(peer);
    }
    const auto seed =
        static_cast<std::uint64_t>(name.back() - '0') * 100 + p.incarnation;
    p.entry = std::make_unique<entry_state>(make_entry(settings, seed, now_));
    p.watched = -1;
    const auto incarnation = p.incarnation;
    at(now_ + tick_period, [=, this] { tick(name, incarnation); });
    at(now_ + watch_period, [=, this] { watch(name, incarnation); });
}

void virtual_cell::start_agent(const std::string& name) {
    auto& p = processes_[name];
    const auto number = name.substr(name.find('-') + 1);
    const int n = std::atoi(number.c_str());
    agent_settings settings;
    settings.name = name;
    for (int i = 1; i <= size_.entries; ++i)
        settings.entries.push_back(fmt::format("entry-{}", i));
    // Three workers per rack, one rack per failure domain.
    const int rack = (n - 1) / 3;
    settings.worker = {"worker-" + number, fmt::format("rack-{}", rack),
                       fmt::format("domain-{}", rack), size_.accelerators};
    p.agent = std::make_unique<agent_state>(
        make_agent(settings, p.incarnation * 1000 + n, now_));
    p.log = {};
    p.log.process = name;
    p.published_events = 0;
    const auto incarnation = p.incarnation;
    at(now_ + tick_period, [=, this] { tick(name, incarnation); });
    at(now_ + duration{1}, [=, this] { announce(name, incarnation); });
}

void virtual_cell::tick(const std::string& name, std::uint64_t incarnation) {
    const auto& p = processes_.at(name);
    if (!p.up || p.incarnation != incarnation)
        return;
    at(now_ + tick_period, [=, this] { tick(name, incarnation); });
    if (p.paused)
        return;
    if (p.entry)
        in_entry(name, [](const entry_context& c) { on_tick(c); });
    else
        in_agent(name, [](const agent_context& c) { on_tick(c); });
    exit_if_idle(name);
}

void virtual_cell::exit_if_idle(const std::string& name) {
    auto& p = processes_.at(name);
    const bool done = p.entry ? p.entry->leaving && is_idle(*p.entry)
                              : p.agent->leaving && is_idle(*p.agent);
    if (!done)
        return;
    p.exited = true;
    kill(name);
}

void virtual_cell::announce(const std::string& name,
                            std::uint64_t incarnation) {
    const auto& p = processes_.at(name);
    if (!p.up || p.incarnation != incarnation)
        return;
    at(now_ + announce_period, [=, this] { announce(name, incarnation); });
    if (leaving_backends_.contains(name))
        return;
    to_process(name, incarnation, [=, this] {
        announced_backend b;
        b.id = "runner-" + name.substr(name.find('-') + 1);
        b.service = "quotes";
        b.slots = size_.slots;
        b.announced_until = now_ + announce_ttl;
        in_agent(name, [&](const agent_context& c) { on_announcement(c, b); });
    });
}

void virtual_cell::kill(const std::string& name) {
    auto& p = processes_.at(name);
    if (!p.up)
        return;
    const auto& log = p.entry ? p.entry->log : p.log;
    past_events_.insert(past_events_.end(), log.events.begin(),
                        log.events.end());
    p.up = false;
    p.paused = false;
    p.backlog.clear();
    ++p.incarnation;
    p.entry.reset();
    p.agent.reset();
    p.published_events = 0;
}

void virtual_cell::replace_host(const std::string& agent) {
    workers_.at(agent).replace(now_);
    restart(agent);
}

void virtual_cell::expire_leases() {
    store_.expire_leases(now_);
}

void virtual_cell::after(duration time, std::function<void()> what) {
    at(now_ + time, std::move(what));
}

void virtual_cell::restart(const std::string& name) {
    kill(name);
    processes_.at(name).up = true;
    if (name.starts_with("entry"))
        start_entry(name);
    else
        start_agent(name);
}

void virtual_cell::pause(const std::string& name) {
    if (processes_.at(name).up)
        processes_.at(name).paused = true;
}

void virtual_cell::resume(const std::string& name) {
    auto& p = processes_.at(name);
    if (!p.paused)
        return;
    p.paused = false;
    auto backlog = std::move(p.backlog);
    p.backlog.clear();
    const auto incarnation = p.incarnation;
    for (auto& what : backlog)
        to_process(name, incarnation, std::move(what));
}

void virtual_cell::leave(const std::string& name) {
    to_process(name, processes_.at(name).incarnation, [=, this] {
        if (processes_.at(name).entry)
            in_entry(name, [](const entry_context& c) { begin_leaving(c); });
        else
            in_agent(name, [](const agent_context& c) { begin_leaving(c); });
    });
}

// ---- Input and output ----

void virtual_cell::perform(const std::string& name, outbox out) {
    for (auto& message : out.messages)
        send(name, std::move(message));
    for (const auto& request : out.store)
        call_store(name, request);
    for (const auto& request : out.worker)
        call_worker(name, request);
    for (const auto& request : out.backend)
        call_backend(name, request);
    record_replies(out.replies);
    publish_events(name);
}

void virtual_cell::publish_events(const std::string& name) {
    auto& p = processes_.at(name);
    const auto& log = p.entry ? p.entry->log : p.log;
    const auto total = log.dropped + log.events.size();
    std::vector<base::event> fresh(
        log.events.end() -
            static_cast<std::ptrdiff_t>(total - p.published_events),
        log.events.end());
    p.published_events = total;
    if (!observer_)
        return;
    for (const auto& e : fresh)
        observer_(e);
}

void virtual_cell::send(const std::string& from, message m) {
    auto& p = processes_.at(from);
    auto& log = p.entry ? p.entry->log : p.log;
    m.envelope.set_from(from);
    m.envelope.set_clock(++log.clock);
    if (cut_.contains({from, m.to}))
        return;
    const auto how = rule_ ? rule_(from, m.to, m.envelope) : delivery{};
    for (int i = 0; i < how.copies; ++i)
        at(now_ + link_latency + how.extra,
           [=, this] { deliver(m.to, m.envelope); });
}

void virtual_cell::deliver(const std::string& to,
                           const wire::Envelope& envelope) {
    auto it = processes_.find(to);
    if (it == processes_.end())
        return;
    to_process(to, it->second.incarnation, [=, this] {
        if (processes_.at(to).entry)
            in_entry(to,
                     [&](const entry_context& c) { on_message(c, envelope); });
        else
            in_agent(to,
                     [&](const agent_context& c) { on_message(c, envelope); });
    });
}

void virtual_cell::call_store(const std::string& name,
                              const store_request& request) {
    const auto incarnation = processes_.at(name).incarnation;
    at(now_ + store_latency / 2, [=, this] {
        store_reply lost;
        lost.id = request.id;
        if (store_fault_ == store_fault::down || cut_from_store_.contains(name))
            return reply_store(name, incarnation, lost, store_timeout);
        const auto reply = store_.apply(request, now_);
        if (store_fault_ == store_fault::loses_replies)
            return reply_store(name, incarnation, lost, store_timeout);
        reply_store(name, incarnation, reply,
                    store_fault_ == store_fault::slow ? slow_store_latency
                                                      : store_latency / 2);
    });
}

void virtual_cell::reply_store(const std::string& name,
                               std::uint64_t incarnation,
                               const store_reply& reply, duration after) {
    at(now_ + after, [=, this] {
        to_process(name, incarnation, [=, this] {
            in_entry(name,
                     [&](const entry_context& c) { on_store_reply(c, reply); });
        });
    });
}

void virtual_cell::watch(const std::string& name, std::uint64_t incarnation) {
    auto& p = processes_.at(name);
    if (!p.up || p.incarnation != incarnation)
        return;
    at(now_ + watch_period, [=, this] { watch(name, incarnation); });
    if (store_fault_ == store_fault::down || p.paused ||
        cut_from_store_.contains(name))
        return;
    store_.expire(now_);
    const auto prefix = control_prefix(cell_name);
    auto events = p.watched < 0 ? store_.snapshot(prefix)
                                : store_.changes_after(prefix, p.watched);
    const bool owned = store_.keys().contains(owner_key(cell_name));
    if (p.watched < 0 && !owned)
        events.push_back({owner_key(cell_name), {}, store_.revision(), true});
    p.watched = store_.revision();
    for (const auto& event : events)
        in_entry(name, [&](const entry_context& c) { on_watch(c, event); });
}

void virtual_cell::call_worker(const std::string& name,
                               const worker_request& request) {
    const auto incarnation = processes_.at(name).incarnation;
    at(now_ + platform_latency, [=, this] {
        worker_reply reply;
        reply.id = request.id;
        if (!unreachable_workers_.contains(name))
            reply = workers_.at(name).apply(request, now_);
        at(now_ + platform_latency, [=, this] {
            to_process(name, incarnation, [=, this] {
                in_agent(name, [&](const agent_context& c) {
                    on_worker_reply(c, reply);
                });
            });
        });
    });
}

void virtual_cell::call_backend(const std::string& name,
                                const backend_request& request) {
    const auto incarnation = processes_.at(name).incarnation;
    at(now_ + platform_latency, [=, this] {
        const auto done =
            backends_.at(name).execute(request.job, request.payload, now_);
        at(now_ + done.takes, [=, this] {
            to_process(name, incarnation, [=, this] {
                in_agent(name, [&](const agent_context& c) {
                    on_backend_reply(
                        c, {request.id, backend_status::done, done.answer});
                });
            });
        });
    });
}

// ---- Callers ----

void virtual_cell::record_replies(const std::vector<wire::ApiReply>& replies) {
    for (const auto& r : replies)
        replies_[r.id()].push_back(r);
}

std::uint64_t virtual_cell::call(const std::string& entry,
                                 wire::ApiCall request, duration limit) {
    std::uint64_t id = 0;
    if (!is_up(entry) || is_paused(entry))
        return id;
    in_entry(entry, [&](const entry_context& c) {
        id = on_local_call(c, std::move(request), limit);
    });
    return id;
}

std::optional<wire::ApiReply> virtual_cell::reply_to(std::uint64_t id) const {
    auto it = replies_.find(id);
    if (it == replies_.end())
        return std::nullopt;
    return it->second.front();
}

int virtual_cell::replies_to(std::uint64_t id) const {
    auto it = replies_.find(id);
    return it == replies_.end() ? 0 : static_cast<int>(it->second.size());
}

wire::ApiReply virtual_cell::ask(const std::string& entry,
                                 wire::ApiCall request) {
    const auto id = call(entry, std::move(request));
    run_until([&] { return reply_to(id).has_value(); });
    return reply_to(id).value_or(wire::ApiReply{});
}

// ---- Faults ----

void virtual_cell::set_store_fault(store_fault fault) {
    store_fault_ = fault;
}

void virtual_cell::cut(const std::string& from, const std::string& to) {
    cut_.insert({from, to});
}

void virtual_cell::cut_store(const std::string& entry, bool is_cut) {
    if (is_cut)
        cut_from_store_.insert(entry);
    else
        cut_from_store_.erase(entry);
}

void virtual_cell::heal() {
    cut_.clear();
}

void virtual_cell::set_worker_reachable(const std::string& agent,
                                        bool reachable) {
    if (reachable)
        unreachable_workers_.erase(agent);
    else
        unreachable_workers_.insert(agent);
}

void virtual_cell::set_backend_leaving(const std::string& agent) {
    leaving_backends_.insert(agent);
    const auto id = "runner-" + agent.substr(agent.find('-') + 1);
    to_process(agent, processes_.at(agent).incarnation, [=, this] {
        in_agent(agent,
                 [&](const agent_context& c) { on_backend_leaving(c, id); });
    });
}

// ---- Observation ----

bool virtual_cell::is_up(const std::string& name) const {
    return processes_.at(name).up;
}

bool virtual_cell::is_paused(const std::string& name) const {
    return processes_.at(name).paused;
}

const owner_state* virtual_cell::owner_state() const {
    const protocol::owner_state* best = nullptr;
    for (const auto& [name, p] : processes_) {
        if (!p.up || !p.entry || !p.entry->owner ||
            p.entry->owner->phase != owner_phase::active)
            continue;
        if (!best || p.entry->owner->epoch > best->epoch)
            best = p.entry->owner.get();
    }
    return best;
}

std::string virtual_cell::owner() const {
    const auto* owner = owner_state();
    return owner ? owner->self : std::string{};
}

const entry_state& virtual_cell::entry(const std::string& name) const {
    return *processes_.at(name).entry;
}

const agent_state& virtual_cell::agent(const std::string& name) const {
    return *processes_.at(name).agent;
}

fake_worker& virtual_cell::worker(const std::string& agent) {
    auto& worker = workers_.at(agent);
    worker.advance(now_);
    return worker;
}

int virtual_cell::executions(const std::string& job) const {
    int total = 0;
    for (const auto& [name, backend] : backends_)
        total += backend.executions(job);
    return total;
}

std::vector<std::string> virtual_cell::entries() const {
    std::vector<std::string> names;
    for (const auto& [name, p] : processes_) {
        if (name.starts_with("entry"))
            names.push_back(name);
    }
    return names;
}

std::vector<std::string> virtual_cell::agents() const {
    std::vector<std::string> names;
    for (const auto& [name, p] : processes_) {
        if (name.starts_with("agent"))
            names.push_back(name);
    }
    return names;
}

std::vector<base::event> virtual_cell::time_line() const {
    auto events = past_events_;
    for (const auto& [name, p] : processes_) {
        if (!p.up)
            continue;
        const auto& log = p.entry ? p.entry->log : p.log;
        events.insert(events.end(), log.events.begin(), log.events.end());
    }
    std::stable_sort(
        events.begin(), events.end(), [](const auto& a, const auto& b) {
            return std::tie(a.clock, a.process) < std::tie(b.clock, b.process);
        });
    return events;
}

} // namespace celerylift::fakes
