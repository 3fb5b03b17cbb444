#pragma once

#include <celerylift/protocol/convert.hpp>

#include <string>

namespace celerylift::fakes {

namespace api = celerylift::v1;

/// A gang of `members` tasks with `accelerators` each.
api::GangShape shape(int members, int accelerators, api::Adjacency within);

/// Stores an organisation with `count` guaranteed gangs of one shape.
wire::ApiCall put_organisation(const std::string& name, int count,
                               const api::GangShape& guaranteed,
                               std::int64_t expected_revision = 0);

/// A job that needs a slot of the service `quotes` but no gang.
api::JobSpec quote(const std::string& id, const std::string& organisation,
                   bool not_repeatable, int work_ms = 10);

/// A gang whose tasks run for `run_ms` each.
api::JobSpec gang_job(const std::string& id, const std::string& organisation,
                      const api::GangShape& gang, int run_ms);

wire::ApiCall submit(const api::JobSpec& spec);
wire::ApiCall wait_for(const std::string& id, duration timeout);
wire::ApiCall get(const std::string& id);
wire::ApiCall cancel(const std::string& id);
wire::ApiCall explain(const std::string& id);
wire::ApiCall drain(const std::string& target, bool drained);
wire::ApiCall set_settings(const api::Settings& settings,
                           std::int64_t expected_revision);

} // namespace celerylift::fakes
