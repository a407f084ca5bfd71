#include <wire/TransportMessages.h>

#include <daemon/Logging.h>

#include <thrift/TOutput.h>

namespace auburnrail {

auto logTransportMessages() -> void
{
    apache::thrift::GlobalOutput.setOutputFunction(
        [](const char *text) { logLine(LogLevel::Warning, "transport", text); });
}

} // namespace auburnrail
