#ifndef AUBURNRAIL_SETTINGS_CLUSTERSECRET_H
#define AUBURNRAIL_SETTINGS_CLUSTERSECRET_H

#include <absl/status/statusor.h>

#include <string>

namespace auburnrail {

/// Reads the cluster secret: the text of the file without trailing white space.
/// An empty path gives an empty secret. `kInvalidArgument` when the file can't be read or holds
/// fewer than 8 characters.
[[nodiscard]] auto readClusterSecret(const std::string &path) -> absl::StatusOr<std::string>;

} // namespace auburnrail

#endif
