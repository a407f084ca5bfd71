#ifndef AUBURNRAIL_CONTROL_TOKENSERVICE_H
#define AUBURNRAIL_CONTROL_TOKENSERVICE_H

#include <control/ControlTables.h>

namespace auburnrail {

/// Responds to entries' requests for single tokens. Never waits. Safe from any thread.
class TokenService
{
public:
    /// `controlTables` must outlive this object.
    explicit TokenService(ControlTables &controlTables);

    /// Grants nothing unless this member leads with a quorum: another leader may grant the same.
    [[nodiscard]] auto respond(const TokenRequest &request) -> TokenResponse;

private:
    ControlTables &tables;
};

} // namespace auburnrail

#endif
