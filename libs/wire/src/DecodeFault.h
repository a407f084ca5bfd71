#ifndef AUBURNRAIL_WIRE_DECODEFAULT_H
#define AUBURNRAIL_WIRE_DECODEFAULT_H

#include <stdexcept>

namespace auburnrail::detail {

/// Bytes that Thrift can read but that stand for no value. Does not leave the library, which calls
/// Thrift's throwing readers anyway.
class DecodeFault : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace auburnrail::detail

#endif
