#ifndef AUBURNRAIL_CONTROL_COMMANDWAIT_H
#define AUBURNRAIL_CONTROL_COMMANDWAIT_H

#include <cstdint>

namespace auburnrail {

/// What a caller of ControlTables::run waits for.
enum class CommandWait : std::uint8_t {
    Committed,
    InForce, ///< At every entry that may serve.
};

} // namespace auburnrail

#endif
