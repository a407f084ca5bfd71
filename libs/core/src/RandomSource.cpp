#include <core/RandomSource.h>

#include <memory>
#include <random>

namespace auburnrail {

auto makeSeededRandom(std::uint64_t seed) -> RandomSource
{
    auto state = std::make_shared<std::uint64_t>(seed);
    return [state]() -> std::uint64_t {
        *state += 0x9E3779B97F4A7C15ULL;
        auto mixed = *state;
        mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
        return mixed ^ (mixed >> 31U);
    };
}

auto makeSecureRandom() -> RandomSource
{
    return []() -> std::uint64_t {
        thread_local auto device = std::random_device("/dev/urandom");
        const auto high = static_cast<std::uint64_t>(device());
        return (high << 32U) | device();
    };
}

} // namespace auburnrail
