#pragma once

#include <celerylift/error.hpp>
#include <celerylift/kernel/cell_state.hpp>

#include <optional>

namespace celerylift::kernel {

/// Creates or changes an organisation. Each gang of its guarantee is bound to
/// a home: accelerators with the adjacency that the shape asks for, which no
/// other guarantee covers. Where the cell can't give every gang a home the
/// organisation is left as it was and the error names the shortfall.
result<success> set_organisation(cell_state& cell, const organisation& spec);

/// Takes over an organisation that was accepted earlier, after a change of
/// owner. Gangs of the guarantee for which there is no room now stay without
/// a home until there is.
void load_organisation(cell_state& cell, const organisation& spec);

/// Ends an organisation's guarantee. Its running gangs become borrowed.
void remove_organisation(cell_state& cell, const std::string& name);

/// Binds an unused block to just these accelerators. Returns false, without
/// a change, where another guarantee covers one of them.
bool bind_to(cell_state& cell, int block, const std::vector<share>& shares);

/// Moves shares of homes away from a worker that is lost or draining.
void leave_homes(cell_state& cell, int w);

/// Finds new homes for shares that were lost with their worker.
void find_lost_homes(cell_state& cell);

/// Moves the home of a block that none of its own gangs use to accelerators
/// that are free now. Returns false, without a change, where there are none.
bool rebind_to_free(cell_state& cell, int block);

/// Accelerators of the block's home that its own gangs don't use, by share.
/// Shares on workers that accept no gangs are left out.
std::vector<share> unused_home(const cell_state& cell,
                               const block_state& block);

/// Whether a part of the block can't be reclaimed for want of workers.
bool is_homeless(const block_state& block);

/// Whether none of the organisation's own gangs runs in the block.
bool is_unused(const block_state& block);

} // namespace celerylift::kernel
