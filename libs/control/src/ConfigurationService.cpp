#include <control/ConfigurationService.h>

#include <daemon/Logging.h>
#include <state/CheckConfiguration.h>

namespace auburnrail {

ConfigurationService::ConfigurationService(ControlTables &controlTables)
    : tables(controlTables)
{
}

auto ConfigurationService::replace(ReplaceConfiguration configuration) -> absl::Status
{
    const auto version = configuration.document.version;
    const auto begin = this->tables.executor.now();
    auto status = this->replaceAndAwait(std::move(configuration));
    const auto took = this->tables.executor.now() - begin;
    this->tables.metrics.countConfiguration(status, took);
    logLine(LogLevel::Info, "configuration", "configuration received",
            {{"version", std::to_string(version)},
             {"outcome", status.ok() ? "in force" : std::string(status.message())},
             {"revision", std::to_string(this->tables.store.revision())},
             {"ms", std::to_string(toMillis(took))}});
    return status;
}

auto ConfigurationService::replaceAndAwait(ReplaceConfiguration configuration) -> absl::Status
{
    if (auto status = checkConfiguration(configuration).toStatus(); !status.ok())
        return status;
    return this->tables.runUntilInForce(std::move(configuration), TIME_LIMIT_MS);
}

auto ConfigurationService::read() -> absl::StatusOr<std::string>
{
    // Checked before the read, so that what is read includes everything that was in force at the
    // check.
    if (!this->tables.isLeading(this->tables.executor.now()))
        return absl::UnavailableError("this member may not know the newest configuration");
    const auto objects = this->tables.store.objects();
    const auto *document = objects.find<ConfigurationDocument>(ConfigurationDocument::NAME);
    if (document == nullptr)
        return absl::UnavailableError("no configuration has been put in force");
    return document->text;
}

} // namespace auburnrail
