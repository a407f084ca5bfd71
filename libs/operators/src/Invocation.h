#ifndef AUBURNRAIL_OPERATORS_INVOCATION_H
#define AUBURNRAIL_OPERATORS_INVOCATION_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace auburnrail::detail {

/// The program's arguments, parsed.
struct Invocation
{
    std::string noun;                ///< `service`, `label`, `status` and so on.
    std::string verb;                ///< `set`, `show` and so on; empty when the noun has none.
    std::string kind;                ///< Of the object, where an argument names it.
    std::string name;                ///< Of the object, or the expression or file.
    std::string labelArgument;       ///< `key=value`, or `key` for a removal.
    std::string selector;            ///< Filter of a list.
    std::vector<std::string> labels; ///< `key=value`
    std::map<std::string, std::string> members; ///< Given options of an object by JSON member.
    std::string program;                        ///< Whose settings `check` reads.
    std::string secretFile;
    std::string against;  ///< Configuration file that `config check` compares with.
    std::string endpoint; ///< That `promote` or `group accept-loss` makes the primary.
    std::string position; ///< TERM.INDEX at which `group accept-loss` takes it.
    std::string htmlFile; ///< File that `report burn` writes.
    std::string control;  ///< IP:port, joined by commas.
    std::string commandId;
    std::optional<std::uint64_t> expectedRevision;
    std::int64_t timeLimitS = 15; ///< Seconds.
    bool json = false;
};

} // namespace auburnrail::detail

#endif
