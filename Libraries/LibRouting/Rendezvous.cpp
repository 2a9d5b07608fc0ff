#include <LibRouting/Rendezvous.h>

#include <LibBase/Hash.h>
#include <cmath>

namespace Stagepost {

// The logarithm method: the score is -weight / ln(u), where u is a hash of key and member that is
// uniform in (0, 1).
double rendezvousRank(uint64_t key, uint64_t member, double weight)
{
    constexpr double scale = 1.0 / (uint64_t { 1 } << 53);
    auto const uniform = (static_cast<double>(mixHashes(key, member) >> 11) + 0.5) * scale;
    return -weight / std::log(uniform);
}

}
