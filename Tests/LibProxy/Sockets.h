#pragma once

#include <LibProxy/Proxy.h>
#include <arpa/inet.h>
#include <array>
#include <boost/test/unit_test.hpp>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Stagepost {

// A listening TCP port, until close() is called.
class ListeningPort {
public:
    // The backlog bounds the connections that wait for accept(); further ones are retried only after a second.
    explicit ListeningPort(int backlog = 1)
        : m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(::bind(m_listener, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) == 0);
        BOOST_REQUIRE(::listen(m_listener, backlog) == 0);
        socklen_t size = sizeof(address);
        BOOST_REQUIRE(::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        endpoint = { "127.0.0.1", ntohs(address.sin_port) };
    }
    ~ListeningPort() { close(); }
    ListeningPort(ListeningPort const&) = delete;
    ListeningPort& operator=(ListeningPort const&) = delete;

    void close()
    {
        if (m_listener >= 0)
            ::close(std::exchange(m_listener, -1));
    }

    // Blocks until a client connects. The caller closes the connection.
    int accept() const { return ::accept(m_listener, nullptr, nullptr); }
    // For poll().
    int descriptor() const { return m_listener; }
    // Whether accept() would return at once.
    bool isConnected() const
    {
        pollfd waiting { m_listener, POLLIN, 0 };
        return ::poll(&waiting, 1, 0) == 1;
    }

    Endpoint endpoint;

private:
    int m_listener;
};

// An upstream that the test answers for, without an event loop.
class ScriptedUpstream {
public:
    ScriptedUpstream() = default;
    ~ScriptedUpstream() { close(); }
    ScriptedUpstream(ScriptedUpstream const&) = delete;
    ScriptedUpstream& operator=(ScriptedUpstream const&) = delete;

    void accept() { m_connection = m_port.accept(); }
    // With unread bytes, closing the connection resets it.
    void readRequest() const
    {
        std::array<char, 4096> request {};
        ::recv(m_connection, request.data(), request.size(), 0);
    }
    void send(std::string const& bytes) const { BOOST_REQUIRE(::send(m_connection, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size())); }
    void close()
    {
        if (m_connection >= 0)
            ::close(std::exchange(m_connection, -1));
    }

    Endpoint const& endpoint() const { return m_port.endpoint; }

private:
    ListeningPort m_port;
    int m_connection { -1 };
};

// A client with a blocking socket and no event loop.
class Client {
public:
    explicit Client(Endpoint const& server, int receiveBufferSize = 0)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        if (receiveBufferSize)
            ::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBufferSize, sizeof(receiveBufferSize));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.port);
        ::inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
        BOOST_REQUIRE(::connect(m_socket, reinterpret_cast<sockaddr const*>(&address), sizeof(address)) == 0);
    }
    ~Client() { ::close(m_socket); }
    Client(Client const&) = delete;
    Client& operator=(Client const&) = delete;

    void send(std::string_view bytes) const { BOOST_REQUIRE(::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size())); }

    // Returns the received bytes without blocking.
    std::string receive() const
    {
        std::array<char, 4096> buffer {};
        auto const size = ::recv(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
        return size > 0 ? std::string(buffer.data(), static_cast<size_t>(size)) : std::string();
    }

    enum class End {
        None,
        Normal,
        Reset,
    };

    // Appends what has arrived to the text, and returns whether the server has ended the connection.
    End receiveAll(std::string& text) const
    {
        std::array<char, 4096> buffer {};
        while (true) {
            auto const size = ::recv(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
            if (size == 0)
                return End::Normal;
            if (size < 0)
                return errno == EAGAIN ? End::None : End::Reset;
            text.append(buffer.data(), static_cast<size_t>(size));
        }
    }

private:
    int m_socket;
};

}
