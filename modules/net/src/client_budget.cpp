#include <celerylift/net/client_budget.hpp>

#include <sys/socket.h>

namespace celerylift::net {

client_budget::client_budget(const client_limits& limits) {
    budget_.limits = limits;
}

client_budget::shutdown_on_exit::~shutdown_on_exit() {
    for (const auto socket : sockets)
        ::shutdown(socket, SHUT_RDWR);
    sockets.clear();
}

} // namespace celerylift::net
