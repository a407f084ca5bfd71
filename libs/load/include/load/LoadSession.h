#ifndef AUBURNRAIL_LOAD_LOADSESSION_H
#define AUBURNRAIL_LOAD_LOADSESSION_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace auburnrail {

/// A caller that roams: each of its requests goes to the next entry and carries its token.
struct LoadSession
{
    std::string token;
    std::size_t nextTarget = 0;
    std::vector<std::string> acknowledged; ///< Ids that its later reads must contain.
};

/// Text that a write appends for `id`.
[[nodiscard]] auto writeMark(std::uint64_t id) -> std::string;

/// Key of the session's values; `pair` is the one that only its transactions write to.
[[nodiscard]] auto sessionKey(std::uint64_t run, std::size_t session, bool pair) -> std::string;

} // namespace auburnrail

#endif
