#pragma once

#include <LibBase/Time.h>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace Stagepost {

// Proofs that a version of replicated state was the latest one at some time, for versions that are
// not in force yet: they are still on their way or being parsed. When versions follow one another
// quickly, most proofs arrive this early.
class PendingProofs {
public:
    void add(uint64_t version, Instant provenAt)
    {
        m_proofs.push_back({ version, provenAt });
        if (m_proofs.size() > maxProofs)
            m_proofs.pop_front();
    }

    // Removes the proofs of this version and earlier ones. Returns the latest time at which no version
    // was newer than this one, if there is one.
    std::optional<Instant> take(uint64_t versionInForce)
    {
        std::optional<Instant> latest;
        std::erase_if(m_proofs, [&](auto const& proof) {
            if (proof.version > versionInForce)
                return false;
            if (!latest || proof.provenAt > *latest)
                latest = proof.provenAt;
            return true;
        });
        return latest;
    }

private:
    // Proofs arrive every few hundred milliseconds, and older ones are of no use.
    static constexpr size_t maxProofs = 8;
    struct Proof {
        uint64_t version { 0 };
        Instant provenAt;
    };
    std::deque<Proof> m_proofs;
};

}
