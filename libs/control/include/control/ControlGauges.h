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
    std::size_t leases = 0;  ///< Of entries; 0 unless the member leads.
    std::size_t members = 0; ///< That the member knows of, itself included.
};

} // namespace auburnrail

#endif
