#include <core/RandomSource.h>

#include <catch2/catch.hpp>

#include <cstddef>
#include <filesystem>
#include <future>
#include <iterator>
#include <thread>
#include <vector>

namespace auburnrail {

namespace {

constexpr auto THREADS = std::size_t(50);

auto openDescriptors() -> std::ptrdiff_t
{
    return std::distance(std::filesystem::directory_iterator("/proc/self/fd"),
                         std::filesystem::directory_iterator());
}

} // namespace

// Guards against a process whose threads each keep a descriptor of the random device: once the
// descriptors are used up, every draw of a further thread fails.
TEST_CASE("threads that draw secure random numbers keep no descriptors")
{
    const auto before = openDescriptors();
    const auto source = makeSecureRandom();
    auto end = std::promise<void>();
    const auto ended = end.get_future().share();
    auto drawn = std::vector<std::promise<std::uint64_t>>(THREADS);
    auto threads = std::vector<std::thread>();
    for (auto &value : drawn) {
        threads.emplace_back([&source, &value, ended] {
            value.set_value(source());
            ended.wait();
        });
    }
    for (auto &value : drawn)
        value.get_future().wait();
    const auto during = openDescriptors();
    end.set_value();
    for (auto &thread : threads)
        thread.join();
    CHECK(during == before);
}

} // namespace auburnrail
