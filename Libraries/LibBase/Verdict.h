#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace Stagepost {

class Verdict;

// Why it is certain that an upstream has not executed a request and never will. There is one factory for each ground,
// so that code which ends a request has to name what it has seen.
class NotRunProof {
public:
    // No byte of the request has left this process, and none will.
    static constexpr NotRunProof nothingSent() { return NotRunProof(Ground::NothingSent); }
    // The connection for the request did not come up, and is closed.
    static constexpr NotRunProof notConnected() { return NotRunProof(Ground::NotConnected); }
    // The process at the upstream's address is another instance than the request was addressed to, and said so in its
    // answer to this request.
    static constexpr NotRunProof otherInstance() { return NotRunProof(Ground::OtherInstance); }
    // The upstream said so in its answer to this request.
    static constexpr NotRunProof upstreamSaidSo() { return NotRunProof(Ground::UpstreamSaidSo); }
    // The daemon that the request was passed on to said so in its own answer to this request.
    static constexpr NotRunProof otherDaemonSaidSo() { return NotRunProof(Ground::OtherDaemonSaidSo); }

    // The name that logs and metrics show, for example "not-connected".
    std::string_view name() const;

private:
    friend class Verdict;
    friend Verdict combine(Verdict, Verdict);

    // From the one that depends on this process alone to the one that depends on most others.
    enum class Ground : uint8_t {
        NothingSent,
        NotConnected,
        OtherInstance,
        UpstreamSaidSo,
        OtherDaemonSaidSo,
    };

    explicit constexpr NotRunProof(Ground ground)
        : m_ground(ground)
    {
    }

    Ground m_ground;
};

// Whether a request was executed by an upstream. "Not run" takes a proof; any uncertainty is mayHaveRun. There is no
// default, so that no path tells a caller "not run" by leaving something out.
class Verdict {
public:
    static Verdict const mayHaveRun;
    static Verdict const ran;

    constexpr Verdict(NotRunProof proof)
        : m_proof(proof)
    {
    }

    constexpr bool isNotRun() const { return m_proof.has_value(); }
    // Empty unless the request has not run.
    constexpr std::optional<NotRunProof> proof() const { return m_proof; }
    // The proof's name for logs, or "none".
    std::string_view proofName() const;

    // Verdicts without a run are equal whatever proves them.
    friend constexpr bool operator==(Verdict first, Verdict second) { return first.m_proof.has_value() == second.m_proof.has_value() && first.m_hasRun == second.m_hasRun; }

private:
    friend Verdict combine(Verdict, Verdict);

    explicit constexpr Verdict(bool hasRun)
        : m_hasRun(hasRun)
    {
    }

    std::optional<NotRunProof> m_proof;
    // Whether it is certain that the request has run.
    bool m_hasRun { false };
};

inline constexpr Verdict Verdict::mayHaveRun { false };
inline constexpr Verdict Verdict::ran { true };

// Returns the name that callers see: "not-run", "may-have-run" or "ran".
std::string_view nameOf(Verdict);

// Combines the verdicts on two attempts of a request, so that any doubt about one attempt applies to the whole request.
// Two proofs give the one that depends on more others.
Verdict combine(Verdict, Verdict);

}
