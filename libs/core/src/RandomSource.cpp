#include <core/RandomSource.h>

#include <cerrno>
#include <memory>
#include <system_error>

#include <sys/random.h>

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
    // A system call, because an open /dev/urandom would cost each thread a descriptor.
    return []() -> std::uint64_t {
        auto value = std::uint64_t(0);
        if (getrandom(&value, sizeof(value), 0) != static_cast<ssize_t>(sizeof(value)))
            throw std::system_error(errno, std::generic_category(), "getrandom");
        return value;
    };
}

} // namespace auburnrail
