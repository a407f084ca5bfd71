#include <control/EvacuationService.h>

#include <daemon/Logging.h>

namespace auburnrail {

EvacuationService::EvacuationService(ControlTables &controlTables)
    : tables(controlTables)
{
}

auto EvacuationService::set(const std::string &zone, bool evacuated) -> absl::Status
{
    const auto begin = this->tables.executor.now();
    auto status = this->setAndAwait(zone, evacuated);
    logLine(LogLevel::Info, "zone", evacuated ? "evacuation ordered" : "return ordered",
            {{"zone", zone},
             {"outcome", status.ok() ? "in force" : std::string(status.message())},
             {"ms", std::to_string(toMillis(this->tables.executor.now() - begin))}});
    return status;
}

auto EvacuationService::setAndAwait(const std::string &zone, bool evacuated) -> absl::Status
{
    if (auto status = this->tables.knowsZone(zone, this->tables.executor.now()); !status.ok())
        return status;
    return this->tables.runUntilInForce(SetObject{Zone{.name = zone, .evacuated = evacuated}},
                                        TIME_LIMIT_MS);
}

} // namespace auburnrail
