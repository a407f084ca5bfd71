#ifndef AUBURNRAIL_CONTROL_CONTROLGAUGES_H
#define AUBURNRAIL_CONTROL_CONTROLGAUGES_H

#include <core/Revision.h>

#include <consensus/Term.h>

#include <cstddef>

namespace auburnrail {

/// State of a control member at the moment its metrics are read.
struct ControlGauges
{
    bool leading = false;
    Term term = 0;
    Revision revision = 0;
    std::size_t leases = 0;                 ///< Leases of entries; 0 unless the member leads.
    std::size_t members = 0;                ///< Control members known to this one, itself included.
    std::size_t groupsAwaitingEvidence = 0; ///< Groups without a primary for lack of a proof.
    bool diskBlocked = false; ///< The disk refuses a write or has not completed it in time.
};

} // namespace auburnrail

#endif
