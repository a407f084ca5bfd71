#ifndef AUBURNRAIL_CONTROL_ENDPOINTCOMMANDER_H
#define AUBURNRAIL_CONTROL_ENDPOINTCOMMANDER_H

#include <control/EndpointOrders.h>

#include <failover/FenceResponse.h>
#include <failover/GroupEndpoint.h>

#include <core/RandomSource.h>
#include <core/Time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace auburnrail {

/// Orders endpoints to change their role. Calls block, at most TIME_LIMIT each; safe from any
/// thread.
class EndpointCommander
{
public:
    static constexpr auto TIME_LIMIT_MS = std::chrono::milliseconds(800);

    /// `secureRandom` draws exchange ids; safe from any thread.
    explicit EndpointCommander(RandomSource secureRandom);

    /// Answer of the endpoint; nothing when none came.
    [[nodiscard]] auto fence(const GroupEndpoint &endpoint, std::uint64_t term)
        -> std::optional<FenceResponse>;

    /// True when the endpoint is the primary of the term now.
    [[nodiscard]] auto promote(const GroupEndpoint &endpoint, std::uint64_t term,
                               const std::vector<GroupEndpoint> &members) -> bool;

    /// True when the endpoint follows `primary` now.
    [[nodiscard]] auto follow(const GroupEndpoint &endpoint, std::uint64_t term,
                              const GroupEndpoint &primary) -> bool;

    /// These operations as hooks; valid while this object lives.
    [[nodiscard]] auto orders() -> EndpointOrders;

private:
    [[nodiscard]] auto newExchangeId() -> std::string;

    RandomSource random;
};

} // namespace auburnrail

#endif
