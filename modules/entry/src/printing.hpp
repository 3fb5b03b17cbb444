#pragma once

#include <api.pb.h>

namespace celerylift::entry {

/// Prints a reply as JSON with the field names of the schema.
void print_json(const google::protobuf::Message& message);

/// Prints a reply as human-readable text.
void print_text(const v1::Revision& reply);
void print_text(const v1::OrganisationList& reply);
void print_text(const v1::JobStatus& reply);
void print_text(const v1::BackendList& reply);
void print_text(const v1::WorkerList& reply);
void print_text(const v1::Empty& reply);
void print_text(const v1::Configuration& reply);
void print_text(const v1::TimeLine& reply);
void print_text(const v1::Explanation& reply);
void print_text(const v1::CellState& reply);

} // namespace celerylift::entry
