#include <LibRollout/JudgeRanking.h>

#include <LibBase/Hash.h>
#include <algorithm>

namespace Stagepost {

uint64_t judgeRank(std::string const& service, VMId daemon)
{
    return mixHashes(hashOf(service), daemon.value());
}

void sortByJudgeRank(std::string const& service, std::vector<VMId>& daemons)
{
    std::sort(daemons.begin(), daemons.end(), [&](VMId first, VMId second) {
        return judgeRank(service, first) > judgeRank(service, second);
    });
}

}
