#include "virtual_fleet.hpp"

#include <algorithm>
#include <fmt/format.h>

namespace celerylift::test {

namespace {

constexpr duration link_delay{1};
/// Messages that are sent while a connection is being made are dropped.
constexpr duration connect_delay{25};
constexpr duration heartbeat_period{500};
constexpr duration call_timeout{3000};

constexpr std::string_view evacuation_prefix = "op/evacuate/";

constexpr std::string_view without_cwm_key = " without the key of cwm-sump";
constexpr std::string_view without_normal_queue = " without the normal queue";

std::string address_of(int entry) {
    return fmt::format("10.0.0.{}:7100", entry);
}

int entry_number(const std::string& address) {
    return std::stoi(address.substr(address.rfind('.') + 1));
}

result<fleet::fleet_config> decode_config(const std::string& text) {
    auto config = virtual_fleet::default_config(std::stoi(text));
    if (text.ends_with(without_cwm_key))
        config.organisations.back().keys.clear();
    if (text.ends_with(without_normal_queue))
        config.queues.pop_back();
    return config;
}

} // namespace

fleet::fleet_config virtual_fleet::default_config(int version) {
    fleet::fleet_config config;
    config.version = version;
    config.queues.push_back(
        {"urgent", "host", "/urgent/", "order-desk", 0, 2, 1.5, duration{250}});
    config.queues.push_back({"normal", "host", "/normal/", "order-desk", 1, 2,
                             3.0, duration{1000}});
    config.organisations.push_back({"kwela", {"kwela-key"}, 16});
    config.organisations.push_back({"cwm-sump", {"cwm-key"}, 8});
    return config;
}

virtual_fleet::virtual_fleet(fleet_size size) : size_(size) {
    configure(1);
    for (int n = 1; n <= size_.servers; ++n)
        servers_[n] = std::make_unique<virtual_server>(
            sim, history, fmt::format("server-{}", n),
            fmt::format("rack-{}", (n - 1) / size_.servers_per_rack));
    for (auto& [n, server] : servers_)
        server->failure_domain = failure_domain_of(n);
    for (int n = 1; n <= size_.entries; ++n)
        start_entry(n);
    for (int n = 1; n <= size_.servers; ++n) {
        start_agent(n);
        send_heartbeat(n);
    }
    sim.run_until([this] { return is_settled(); }, duration{10'000});
    sim.run_for(duration{1000});
}

virtual_fleet::~virtual_fleet() = default;

void virtual_fleet::configure_without_cwm_key(int version) {
    store.put("op/config",
              std::to_string(version) + std::string(without_cwm_key));
}

void virtual_fleet::configure_without_normal_queue(int version) {
    store.put("op/config",
              std::to_string(version) + std::string(without_normal_queue));
}

void virtual_fleet::configure(int version) {
    store.put("op/config", std::to_string(version));
}

void virtual_fleet::configure(const fleet::fleet_config& config) {
    const auto text = fmt::format("{} of a test", config.version);
    own_configs_[text] = config;
    store.put("op/config", text);
}

void virtual_fleet::start_entry(int number) {
    auto entry = std::make_unique<entry_process>();
    const auto name = fmt::format("entry-{}", number);
    entry->process = std::make_unique<virtual_process>(name, sim.now, sim.log);
    entry->client = store.client(name, entry->process->liveness());
    fleet::EntryRecord self;
    self.set_name(name);
    self.set_address(address_of(number));
    self.set_incarnation(std::to_string(++last_incarnation_));
    self.set_link_mbps(1000);
    if (const auto it = millicores.find(number); it != millicores.end())
        self.set_millicores(it->second);
    entry->node = std::make_unique<fleet::entry_node>(
        entry->process->runtime, *entry->client,
        fleet::entry_node_settings{
            self,
            "op/config",
            [this](const std::string& text) {
                const auto own = own_configs_.find(text);
                return own == own_configs_.end()
                           ? decode_config(text)
                           : result<fleet::fleet_config>(own->second);
            },
            {address_of(1), address_of(2), address_of(3)},
            {},
            10UL * 1024 * 1024,
            size_.follows_evacuations ? std::string(evacuation_prefix) : ""},
        [this, number](const std::string& agent,
                       const fleet::FleetEnvelope& envelope) {
            send_to_agent(number, agent, envelope);
        },
        fleet::peer_links{[](const std::string&) {}, [](const std::string&) {},
                          [this, number](const std::string& address,
                                         const fleet::FleetEnvelope& envelope) {
                              send_between_entries(number, address, envelope);
                          }});
    sim.add(entry->process.get());
    entry->node->start();
    entries_[number] = std::move(entry);
}

void virtual_fleet::kill_entry(int number) {
    auto it = entries_.find(number);
    if (it == entries_.end())
        return;
    sim.remove(it->second->process.get());
    entries_.erase(it);
}

void virtual_fleet::stop_entry(int number) {
    entries_.at(number)->node->stop(sim.now + duration{200});
    sim.run_for(duration{200});
    kill_entry(number);
}

void virtual_fleet::start_agent(int number) {
    auto agent = std::make_unique<agent_process>();
    const auto name = fmt::format("agent-{}", number);
    agent->process = std::make_unique<virtual_process>(name, sim.now, sim.log);
    agent->client = servers_.at(number)->client(agent->process->liveness());
    auto* self = agent.get();
    agent->node = std::make_unique<fleet::agent_node>(
        agent->process->runtime, *agent->client, name,
        failure_domain_of(number),
        fleet::peer_links{
            [this, self](const std::string& address) {
                self->connected[address] = sim.now + connect_delay;
            },
            [self](const std::string& address) {
                self->connected.erase(address);
            },
            [this, self, number](const std::string& address,
                                 const fleet::FleetEnvelope& envelope) {
                const auto link = self->connected.find(address);
                if (link != self->connected.end() && sim.now >= link->second)
                    send_to_entry(number, address, envelope);
            }});
    sim.add(agent->process.get());
    agents_[number] = std::move(agent);
    agents_[number]->node->start({address_of(1), address_of(2), address_of(3)});
}

std::weak_ptr<int> virtual_fleet::entry_liveness(int number) const {
    const auto it = entries_.find(number);
    return it == entries_.end() ? std::weak_ptr<int>{}
                                : it->second->process->liveness();
}

void virtual_fleet::pause_entry(int number, duration time) {
    auto* process = entries_.at(number)->process.get();
    process->pause();
    sim.after(time, [this, number, process] {
        if (entries_.contains(number) &&
            entries_.at(number)->process.get() == process)
            process->resume();
    });
}

void virtual_fleet::pause_agent(int number, duration time) {
    auto* process = agents_.at(number)->process.get();
    process->pause();
    sim.after(time, [this, number, process] {
        if (agents_.contains(number) &&
            agents_.at(number)->process.get() == process)
            process->resume();
    });
}

void virtual_fleet::kill_agent(int number) {
    auto it = agents_.find(number);
    if (it == agents_.end())
        return;
    sim.remove(it->second->process.get());
    agents_.erase(it);
}

void virtual_fleet::send_heartbeat(int agent) {
    // A server that has crashed sends nothing.
    if (agents_.contains(agent) && servers_.at(agent)->is_up())
        fleet::on_heartbeat(agents_.at(agent)->node->state(),
                            servers_.at(agent)->heartbeat());
    sim.after(heartbeat_period, [this, agent] { send_heartbeat(agent); });
}

void virtual_fleet::set_link(int entry, int agent, bool up) {
    if (up)
        cut_links_.erase({entry, agent});
    else
        cut_links_.insert({entry, agent});
}

void virtual_fleet::set_link_delay(int entry, int agent, duration delay) {
    link_delays_[{entry, agent}] = delay;
}

void virtual_fleet::take_out_of_service(const std::string& domain) {
    store.put(fmt::format("{}{}", evacuation_prefix, domain), "");
    history.out_of_service_since[domain] = sim.now;
}

void virtual_fleet::return_to_service(const std::string& domain) {
    store.remove(fmt::format("{}{}", evacuation_prefix, domain));
    history.out_of_service_since.erase(domain);
}

std::string virtual_fleet::failure_domain_of(int server) const {
    const int rack = (server - 1) / size_.servers_per_rack;
    return fmt::format("za-north-{}",
                       static_cast<char>('a' + rack % size_.failure_domains));
}

bool virtual_fleet::can_deliver(const fleet::FleetEnvelope& envelope) {
    const auto bytes = envelope.ByteSizeLong();
    longest_message = std::max(longest_message, bytes);
    return bytes <= max_message_bytes;
}

void virtual_fleet::send_to_entry(int agent, const std::string& address,
                                  const fleet::FleetEnvelope& envelope) {
    if (!can_deliver(envelope))
        return;
    const int number = entry_number(address);
    sim.after(link_delay, entry_liveness(number),
              [this, agent, number, envelope] {
                  if (is_link_up(number, agent))
                      entries_.at(number)->node->on_message(
                          fmt::format("agent-{}", agent), envelope);
              });
}

void virtual_fleet::send_between_entries(int from, const std::string& address,
                                         const fleet::FleetEnvelope& envelope) {
    const int number = entry_number(address);
    sim.after(link_delay, entry_liveness(number),
              [this, from, number, envelope] {
                  if (entries_.contains(from))
                      entries_.at(number)->node->on_message(
                          fmt::format("entry-{}", from), envelope);
              });
}

void virtual_fleet::send_to_agent(int entry, const std::string& agent,
                                  const fleet::FleetEnvelope& envelope) {
    const int number = std::stoi(agent.substr(agent.rfind('-') + 1));
    if (agent.starts_with("entry-")) {
        // A reply on a connection that the other entry has opened.
        sim.after(link_delay, entry_liveness(number),
                  [this, entry, number, envelope] {
                      entries_.at(number)->node->on_message(address_of(entry),
                                                            envelope);
                  });
        return;
    }
    if (!agents_.contains(number) || !can_deliver(envelope))
        return;
    const auto delay = link_delays_.contains({entry, number})
                           ? link_delays_.at({entry, number})
                           : link_delay;
    sim.after(delay, agents_.at(number)->process->liveness(),
              [this, entry, number, envelope] {
                  if (is_link_up(entry, number) &&
                      agents_.at(number)->connected.contains(address_of(entry)))
                      agents_.at(number)->node->on_message(address_of(entry),
                                                           envelope);
              });
}

int virtual_fleet::owner_entry() const {
    int found = 0;
    for (const auto& [number, entry] : entries_)
        if (entry->node->is_owner())
            found = number;
    return found;
}

bool virtual_fleet::is_settled() const {
    const int owner = owner_entry();
    if (owner == 0)
        return false;
    const auto& servers = entries_.at(owner)->node->owner_state().servers;
    std::size_t reported = 0;
    for (const auto& [agent, server] : servers)
        reported +=
            server.has_reported && !server.state.incarnation().empty() ? 1 : 0;
    return reported == agents_.size();
}

fleet::caller virtual_fleet::make_caller(const std::string& id,
                                         const std::string& key,
                                         const std::string& path) const {
    return {"host", path + id, key, sim.now + call_timeout};
}

fleet::answer
virtual_fleet::wait_for_answer(std::optional<fleet::answer>& answer) {
    sim.run_until([&] { return answer.has_value(); },
                  call_timeout + call_timeout);
    return answer.value_or(fleet::answer{});
}

void virtual_fleet::record_submission(const fleet::Submission& job) {
    history.payloads[job.id()] = job.payload();
    auto& needs = history.needs[job.id()];
    needs.clear();
    for (const auto& step : job.steps())
        needs.push_back(fleet::from_record(step.each()));
}

fleet::answer virtual_fleet::submit(const fleet::Submission& job, int entry,
                                    const std::string& key,
                                    const std::string& path) {
    auto answer = std::make_shared<std::optional<fleet::answer>>();
    record_submission(job);
    fleet::submit(entries_.at(entry)->node->api(),
                  make_caller(job.id(), key, path), job,
                  [answer](const fleet::answer& a) { *answer = a; });
    return wait_for_answer(*answer);
}

void virtual_fleet::submit_async(const fleet::Submission& job, int entry,
                                 const std::string& key,
                                 const std::string& path) {
    record_submission(job);
    submissions_[job.id()] = {job, key, path};
    if (entries_.contains(entry))
        fleet::submit(entries_.at(entry)->node->api(),
                      make_caller(job.id(), key, path), job,
                      [](const fleet::answer&) {});
}

void virtual_fleet::resubmit_unknown() {
    if (entries_.empty())
        return;
    const int entry = entries_.begin()->first;
    for (const auto& [id, submission] : std::map(submissions_))
        if (!state_at_any_entry(id))
            submit_async(submission.job, entry, submission.key,
                         submission.path);
}

std::optional<fleet::JobState>
virtual_fleet::state_at_any_entry(const std::string& id) const {
    std::optional<fleet::JobState> found;
    for (const auto& [number, entry] : entries_) {
        const auto state = fleet::shown_state(entry->node->jobs(), id);
        if (state && (!found || fleet::is_final(*state)))
            found = state;
    }
    return found;
}

fleet::answer virtual_fleet::show(const std::string& id, int entry,
                                  const std::string& key) {
    auto answer = std::make_shared<std::optional<fleet::answer>>();
    fleet::show_state(entries_.at(entry)->node->api(),
                      make_caller(id, key, "/normal/"), id,
                      [answer](const fleet::answer& a) { *answer = a; });
    return wait_for_answer(*answer);
}

fleet::answer virtual_fleet::cancel(const std::string& id, int entry,
                                    const std::string& key) {
    auto answer = std::make_shared<std::optional<fleet::answer>>();
    fleet::cancel(entries_.at(entry)->node->api(),
                  make_caller(id, key, "/normal/"), id,
                  [answer](const fleet::answer& a) { *answer = a; });
    return wait_for_answer(*answer);
}

fleet::answer virtual_fleet::count(const std::string& path, int entry,
                                   const std::string& key) {
    auto answer = std::make_shared<std::optional<fleet::answer>>();
    fleet::count_waiting(entries_.at(entry)->node->api(),
                         make_caller("", key, path),
                         [answer](const fleet::answer& a) { *answer = a; });
    return wait_for_answer(*answer);
}

bool virtual_fleet::wait_for_state(const std::string& id, fleet::JobState state,
                                   duration limit, int entry) {
    return sim.run_until(
        [&] {
            return entries_.contains(entry) &&
                   fleet::shown_state(entries_.at(entry)->node->jobs(), id) ==
                       state;
        },
        limit);
}

fleet::Submission make_job(const std::string& id, const std::string& payload,
                           int count, fleet::resources each) {
    fleet::Submission job;
    job.set_id(id);
    job.set_payload(payload);
    auto* step = job.add_steps();
    step->set_count(count);
    fleet::to_record(each, step->mutable_each());
    step->set_estimate_ms(1000);
    return job;
}

fleet::Submission make_gang(const std::string& id, const std::string& payload,
                            int count, fleet::resources each) {
    auto job = make_job(id, payload, count, each);
    job.mutable_steps(0)->set_gang(true);
    job.mutable_steps(0)->set_same_rack(true);
    return job;
}

} // namespace celerylift::test
