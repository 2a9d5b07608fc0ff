#include <LibBase/Verdict.h>

namespace Stagepost {

std::string_view NotRunProof::name() const
{
    switch (m_ground) {
    case Ground::NothingSent:
        return "nothing-sent";
    case Ground::NotConnected:
        return "not-connected";
    case Ground::OtherInstance:
        return "other-instance";
    case Ground::UpstreamSaidSo:
        return "upstream-said-so";
    case Ground::OtherDaemonSaidSo:
        return "other-daemon-said-so";
    }
    return "unknown";
}

std::string_view Verdict::proofName() const
{
    return m_proof ? m_proof->name() : "none";
}

std::string_view nameOf(Verdict verdict)
{
    if (verdict.isNotRun())
        return "not-run";
    return verdict == Verdict::ran ? "ran" : "may-have-run";
}

Verdict combine(Verdict first, Verdict second)
{
    if (first == Verdict::ran || second == Verdict::ran)
        return Verdict::ran;
    if (!first.m_proof || !second.m_proof)
        return Verdict::mayHaveRun;
    return first.m_proof->m_ground < second.m_proof->m_ground ? second : first;
}

}
