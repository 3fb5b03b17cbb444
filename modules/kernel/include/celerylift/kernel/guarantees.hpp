#pragma once

#include <celerylift/error.hpp>
#include <celerylift/kernel/cell_state.hpp>

#include <optional>

namespace celerylift::kernel {

/// Creates or changes an organisation. Each gang of its guarantee is bound to
/// a home: accelerators with the adjacency that the shape requires, which no
/// other guarantee covers. If the cell cannot give every gang a home, the
/// organisation stays unchanged and the error (`infeasible`) says how many
/// gangs have none.
result<success> set_organisation(cell_state& cell, const organisation& spec);

/// Loads an organisation that an earlier owner accepted. Gangs of the guarantee
/// that do not fit now have no home until capacity becomes available.
void load_organisation(cell_state& cell, const organisation& spec);

/// Ends an organisation's guarantee. Its running gangs become borrowed.
void remove_organisation(cell_state& cell, const std::string& name);

/// Binds an unused block to exactly these accelerators. Returns false and
/// changes nothing if the block is in use, or if one of the accelerators is not
/// available for a home: another guarantee covers it, a pinned gang uses it or
/// its worker accepts no gangs.
bool bind_to(cell_state& cell, int block, const std::vector<share>& shares);

/// Unbinds unused shares of homes from worker `w`, which is lost, draining or
/// in quarantine, and looks for new homes for them.
void unbind_homes_on(cell_state& cell, int w);

/// Finds homes for blocks that have lost shares. First it replaces single
/// shares, then it binds unused blocks again, and last it moves blocks in which
/// gangs run.
void rebind_lost_shares(cell_state& cell);

/// Moves the home of an unused block to accelerators that are free now.
/// Returns false and changes nothing if the block is in use or if there are no
/// such accelerators.
bool rebind_to_free(cell_state& cell, int block);

/// Accelerators of the block's home that the organisation's own gangs do not
/// use, by share. Excludes shares on workers that accept no gangs.
std::vector<share> unused_home(const cell_state& cell,
                               const block_state& block);

/// Whether at least one share of the block has no worker, so that the block
/// cannot be reclaimed in full.
bool is_homeless(const block_state& block);

/// Whether no gang of the organisation runs in the block and no claim holds
/// accelerators of it.
bool is_unused(const block_state& block);

} // namespace celerylift::kernel
