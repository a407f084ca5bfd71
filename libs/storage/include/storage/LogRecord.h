#ifndef AUBURNRAIL_STORAGE_LOGRECORD_H
#define AUBURNRAIL_STORAGE_LOGRECORD_H

#include <cstdint>
#include <string>

namespace auburnrail {

/// A record of the log file. Indexes are consecutive. The payload is opaque to the storage.
struct LogRecord
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::string payload;

    auto operator==(const LogRecord &) const -> bool = default;
};

} // namespace auburnrail

#endif
