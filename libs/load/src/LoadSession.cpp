#include <load/LoadSession.h>

namespace auburnrail {

auto writeMark(std::uint64_t id) -> std::string
{
    return "w" + std::to_string(id) + ";";
}

auto sessionKey(std::uint64_t run, std::size_t session, bool pair) -> std::string
{
    return "run" + std::to_string(run) + (pair ? "-pair-" : "-session-") + std::to_string(session);
}

} // namespace auburnrail
