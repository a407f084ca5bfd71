#include <control/ConfigurationService.h>

#include <daemon/Logging.h>
#include <state/CheckConfiguration.h>

#include <future>
#include <memory>

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
    logLine(LogLevel::Info, "configuration", "configuration received",
            {{"version", std::to_string(version)},
             {"outcome", status.ok() ? "in force" : std::string(status.message())},
             {"revision", std::to_string(this->tables.store.revision())},
             {"ms", std::to_string(toMillis(this->tables.executor.now() - begin))}});
    return status;
}

auto ConfigurationService::replaceAndAwait(ReplaceConfiguration configuration) -> absl::Status
{
    if (auto status = checkConfiguration(configuration).toStatus(); !status.ok())
        return status;
    const auto promise = std::make_shared<std::promise<absl::StatusOr<CommandResult>>>();
    auto future = promise->get_future();
    this->tables.pipeline.submitAndAccept(
        this->tables.makeCommand(std::move(configuration)),
        [promise](absl::StatusOr<CommandResult> result) { promise->set_value(std::move(result)); });
    if (future.wait_for(TIME_LIMIT_MS) != std::future_status::ready)
        return absl::DeadlineExceededError("the configuration was not in force in time");
    const auto result = future.get();
    if (!result.ok())
        return result.status();
    if (result->status == CommandStatus::Applied)
        return absl::OkStatus();
    return result->status == CommandStatus::Invalid ? absl::InvalidArgumentError(result->message)
                                                    : absl::UnavailableError(result->message);
}

auto ConfigurationService::read() -> absl::StatusOr<std::string>
{
    // Checked before the read: whatever was in force by then is in what is read.
    if (!this->tables.isLeading(this->tables.executor.now()))
        return absl::UnavailableError("this member may not know the newest configuration");
    const auto objects = this->tables.store.objects();
    const auto *document = objects.find<ConfigurationDocument>(ConfigurationDocument::NAME);
    if (document == nullptr)
        return absl::UnavailableError("no configuration has been put in force");
    return document->text;
}

} // namespace auburnrail
