#ifndef AUBURNRAIL_OPERATORS_OPERATORCLIENT_H
#define AUBURNRAIL_OPERATORS_OPERATORCLIENT_H

#include <operators/ClientHooks.h>
#include <operators/SubmitAnswer.h>

#include <state/Command.h>

#include <core/Time.h>

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <vector>

namespace auburnrail {

/// Sends commands and queries to the control members, of which one leads. Thread rule: one caller
/// at a time.
class OperatorClient
{
public:
    /// `addresses` are the operators' ports, IP:port; at least one.
    OperatorClient(ClientHooks hooks, std::vector<std::string> addresses);

    /// Sends the command until it is decided or `limit` has passed, always with the same id, so
    /// that it takes effect once at most. Follows leader hints. Unknown when an attempt may have
    /// taken effect; NotRun only when none can have.
    [[nodiscard]] auto submit(const Command &command, Duration limit) -> SubmitAnswer;

    /// Body of the first 200 or 400 response of any member. `kInvalidArgument` with the body for
    /// 400, `kUnavailable` when no member answered in time.
    [[nodiscard]] auto get(const std::string &target, Duration limit)
        -> absl::StatusOr<std::string>;

    /// Answers of all members to one GET each, by address; a member that does not answer with 200
    /// is left out. Each member gets at most `limit`.
    [[nodiscard]] auto getFromEach(const std::string &target, Duration limit)
        -> std::map<std::string, std::string>;

    /// Address of the member that leads, asked for again until `limit` has passed. `kUnavailable`
    /// when none leads.
    [[nodiscard]] auto findLeader(Duration limit) -> absl::StatusOr<std::string>;

private:
    ClientHooks hooks;
    std::vector<std::string> addresses;
};

} // namespace auburnrail

#endif
