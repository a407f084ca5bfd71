#ifndef AUBURNRAIL_CONTROL_ENDPOINTCOMMANDER_H
#define AUBURNRAIL_CONTROL_ENDPOINTCOMMANDER_H

#include <control/EndpointRoleHooks.h>

#include <failover/FenceResponse.h>
#include <failover/GroupEndpoint.h>

#include <core/RandomSource.h>
#include <core/Time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace auburnrail {

/// Sends requests to endpoints to change their role, over the project's own endpoint protocol. Each
/// call blocks for at most TIME_LIMIT_MS. Safe from any thread.
class EndpointCommander
{
public:
    static constexpr auto TIME_LIMIT_MS = std::chrono::milliseconds(800);

    /// `secureRandom` draws exchange ids; safe from any thread.
    explicit EndpointCommander(RandomSource secureRandom);

    /// The endpoint's response; nothing when none was received.
    [[nodiscard]] auto fence(const GroupEndpoint &endpoint, std::uint64_t term)
        -> std::optional<FenceResponse>;

    /// An endpoint that accepts it is now the primary of the term.
    [[nodiscard]] auto promote(const GroupEndpoint &endpoint, std::uint64_t term,
                               const std::vector<GroupEndpoint> &members) -> OrderAnswer;

    /// True when the endpoint now replicates from `primary`.
    [[nodiscard]] auto follow(const GroupEndpoint &endpoint, std::uint64_t term,
                              const GroupEndpoint &primary) -> bool;

    /// These operations as hooks; valid during the lifetime of this object.
    [[nodiscard]] auto roleHooks() -> EndpointRoleHooks;

private:
    [[nodiscard]] auto newExchangeId() -> std::string;

    RandomSource random;
};

} // namespace auburnrail

#endif
