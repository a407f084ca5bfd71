#include <core/ProcessorTime.h>

#include <sys/resource.h>

namespace auburnrail {

auto processorTime() -> Duration
{
    auto usage = rusage();
    if (getrusage(RUSAGE_SELF, &usage) != 0)
        return Duration();
    const auto toDuration = [](const timeval &time) {
        return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec);
    };
    return toDuration(usage.ru_utime) + toDuration(usage.ru_stime);
}

} // namespace auburnrail
