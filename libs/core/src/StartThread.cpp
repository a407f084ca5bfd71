#include <core/StartThread.h>

#include <absl/strings/str_cat.h>

#include <chrono>
#include <system_error>
#include <tuple>

namespace auburnrail {

namespace {

constexpr auto RETRY_PAUSE = std::chrono::milliseconds(100);

} // namespace

auto startThread(Task task) -> absl::StatusOr<std::thread>
{
    try {
        return std::thread(std::move(task));
    } catch (const std::system_error &error) {
        return absl::ResourceExhaustedError(absl::StrCat("can't start a thread: ", error.what()));
    }
}

auto untilThreadStarts(const std::function<auto()->absl::Status> &attempt,
                       const RefusalHook &refused) -> absl::Status
{
    auto status = attempt();
    if (absl::IsResourceExhausted(status) && refused)
        refused(status);
    while (absl::IsResourceExhausted(status)) {
        std::this_thread::sleep_for(RETRY_PAUSE);
        status = attempt();
    }
    return status;
}

auto startRequiredThread(const Task &task, const RefusalHook &refused, const ThreadStarter &start)
    -> std::thread
{
    auto thread = std::thread();
    const auto attempt = [&]() -> absl::Status {
        auto started = start(task);
        if (!started.ok())
            return started.status();
        thread = *std::move(started);
        return absl::OkStatus();
    };
    std::ignore = untilThreadStarts(attempt, refused);
    return thread;
}

} // namespace auburnrail
