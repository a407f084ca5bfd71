#include <control/HeldResponses.h>

#include <core/MonotonicClock.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace auburnrail {

using namespace std::chrono_literals;

namespace {

constexpr auto HOLDERS = 20;

/// Holds one response of each holder on a thread of its own.
class Held
{
public:
    Held()
    {
        for (auto index = 0; index < HOLDERS; ++index) {
            this->threads.emplace_back([this, index] {
                this->responses.hold(holder(index), 5, monotonicNow() + 60s);
                ++this->released;
            });
        }
        await([this] { return this->responses.size() == HOLDERS; });
    }

    ~Held()
    {
        this->responses.close();
        for (auto &thread : this->threads)
            thread.join();
    }

    [[nodiscard]] static auto holder(int index) -> HolderId
    {
        return HolderId{"entry-" + std::to_string(index), 1};
    }

    /// Waits up to 20 s for `condition`.
    static auto await(const std::function<auto()->bool> &condition) -> void
    {
        const auto end = monotonicNow() + 20s;
        while (!condition() && monotonicNow() < end)
            std::this_thread::sleep_for(5ms);
    }

    HeldResponses responses;
    std::atomic<int> released = 0;

private:
    std::vector<std::thread> threads;
};

} // namespace

// Guards against a leader whose processor time goes into waking up threads: a change for one entry
// woke the thread of every entry.
TEST_CASE("a change for one holder wakes up its response only")
{
    auto held = Held();
    for (auto i = 0; i < 100; ++i)
        held.responses.sharesChanged(Held::holder(3));
    Held::await([&held] { return held.released == 1; });
    CHECK(held.released == 1);
    CHECK(held.responses.size() == HOLDERS - 1);
    CHECK(held.responses.wakeUps() == 1);
}

TEST_CASE("a new revision releases all responses, one that is known releases none")
{
    auto held = Held();
    held.responses.revisionReached(5);
    CHECK(held.responses.size() == HOLDERS);
    CHECK(held.responses.wakeUps() == 0);
    held.responses.revisionReached(6);
    Held::await([&held] { return held.released == HOLDERS; });
    CHECK(held.released == HOLDERS);
}

TEST_CASE("a change that comes before the response is held releases it at once")
{
    auto responses = HeldResponses();
    responses.sharesChanged(Held::holder(1));
    responses.hold(Held::holder(1), 0, monotonicNow() + 60s);
    CHECK(responses.wakeUps() == 0);
}

} // namespace auburnrail
