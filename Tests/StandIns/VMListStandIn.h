#pragma once

#include <StandIns/StandInServer.h>
#include <map>
#include <string>

namespace Stagepost::StandIns {

// The platform's list of VMs.
//   GET /v1/vms?since=&wait_ms=   the VMs that have changed since a version
//   POST /v1/vms                  a JSON array of VMs to add or update, in the format of the response
//   POST /faults {"down":bool}
class VMListStandIn {
public:
    explicit VMListStandIn(EventLoop&);
    Endpoint listen(Endpoint const& endpoint) { return m_server.listen(endpoint); }

    // Adds or updates the VMs of a JSON array.
    void updateVMs(std::string const& json);
    void setDown(bool isDown) { m_isDown = isDown; }

private:
    struct Entry {
        uint64_t version { 0 };
        std::string json;
    };

    Net::awaitable<bool> handle(TcpStream&, Request&);
    std::string changesSince(uint64_t version) const;

    bool m_isDown { false };
    uint64_t m_version { 0 };
    std::map<std::string, Entry> m_entries;
    StandInServer m_server;
};

}
