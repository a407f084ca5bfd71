#ifndef AUBURNRAIL_WIRE_COMPACTWRITER_H
#define AUBURNRAIL_WIRE_COMPACTWRITER_H

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <string>

namespace auburnrail::detail {

/// Writes Thrift structs one after another into memory.
class CompactWriter
{
public:
    template <typename T>
    auto write(const T &value) -> void
    {
        value.write(&this->protocol);
    }

    [[nodiscard]] auto bytes() -> std::string
    {
        return this->buffer->getBufferAsString();
    }

private:
    using Buffer = apache::thrift::transport::TMemoryBuffer;

    std::shared_ptr<Buffer> buffer = std::make_shared<Buffer>();
    apache::thrift::protocol::TCompactProtocolT<Buffer> protocol{this->buffer};
};

} // namespace auburnrail::detail

#endif
