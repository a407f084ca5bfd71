#ifndef AUBURNRAIL_SETTINGS_CLUSTERSECRET_H
#define AUBURNRAIL_SETTINGS_CLUSTERSECRET_H

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace auburnrail {

/// The cluster secret in the text of the file `path`: all of it, without trailing white space.
/// `kInvalidArgument` when it has fewer than 8 characters.
[[nodiscard]] auto parseClusterSecret(std::string_view text, const std::string &path)
    -> absl::StatusOr<std::string>;

/// Reads the cluster secret from its file.
/// An empty path gives an empty secret. `kInvalidArgument` when the file can't be read or holds
/// fewer than 8 characters.
[[nodiscard]] auto readClusterSecret(const std::string &path) -> absl::StatusOr<std::string>;

} // namespace auburnrail

#endif
