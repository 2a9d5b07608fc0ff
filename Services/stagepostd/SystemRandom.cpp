#include <stagepostd/SystemRandom.h>

#include <memory>
#include <random>

namespace Stagepost {

RandomHook systemRandom()
{
    auto engine = std::make_shared<std::mt19937_64>((uint64_t { std::random_device {}() } << 32) | std::random_device {}());
    return [engine] { return (*engine)(); };
}

}
