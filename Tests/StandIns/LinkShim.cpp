// Linked into a test build of the daemon. Connections to the address of the upstreams come from an
// address of this daemon, so that upstreams can tell daemons apart, and fail while a file says that the
// daemon's links are cut: 'r' refuses them, 'h' leaves them without an answer.

#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using Connect = int (*)(int, sockaddr const*, socklen_t);

in_addr_t addressFromEnvironment(char const* name)
{
    auto const* text = std::getenv(name);
    return text ? ::inet_addr(text) : INADDR_NONE;
}

// 'o' while the links are up.
char linkState()
{
    static int const descriptor = [] {
        auto const* path = std::getenv("STAGEPOST_LINK_FILE");
        return path ? ::open(path, O_RDONLY | O_CLOEXEC) : -1;
    }();
    char state = 'o';
    return ::pread(descriptor, &state, 1, 0) == 1 ? state : 'o';
}

// A listener whose queue is full, so that it never completes a connection.
sockaddr_in blackHole()
{
    static auto const address = [] {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_addr.s_addr = ::htonl(INADDR_LOOPBACK);
        auto const* port = std::getenv("STAGEPOST_BLACK_HOLE_PORT");
        result.sin_port = ::htons(static_cast<uint16_t>(port ? std::atoi(port) : 0));
        return result;
    }();
    return address;
}

}

extern "C" int connect(int socket, sockaddr const* address, socklen_t size)
{
    static auto const systemConnect = reinterpret_cast<Connect>(::dlsym(RTLD_NEXT, "connect"));
    static auto const upstreams = addressFromEnvironment("STAGEPOST_UPSTREAM_ADDRESS");
    static auto const source = addressFromEnvironment("STAGEPOST_LINK_SOURCE");
    sockaddr_in target {};
    if (size < sizeof target)
        return systemConnect(socket, address, size);
    std::memcpy(&target, address, sizeof target);
    if (target.sin_family != AF_INET || target.sin_addr.s_addr != upstreams)
        return systemConnect(socket, address, size);
    auto const state = linkState();
    if (state == 'r') {
        errno = ECONNREFUSED;
        return -1;
    }
    if (state == 'h') {
        auto const hole = blackHole();
        return systemConnect(socket, reinterpret_cast<sockaddr const*>(&hole), sizeof hole);
    }
    sockaddr_in local {};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = source;
    if (::bind(socket, reinterpret_cast<sockaddr const*>(&local), sizeof local) != 0)
        return -1;
    return systemConnect(socket, address, size);
}
