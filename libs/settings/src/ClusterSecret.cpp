#include <settings/ClusterSecret.h>

#include <absl/strings/ascii.h>

#include <fstream>
#include <sstream>

namespace auburnrail {

namespace {

constexpr auto MIN_SECRET_CHARACTERS = std::size_t(8);

} // namespace

auto parseClusterSecret(std::string_view text, const std::string &path)
    -> absl::StatusOr<std::string>
{
    auto secret = std::string(
        absl::StripTrailingAsciiWhitespace(absl::string_view(text.data(), text.size())));
    if (secret.size() < MIN_SECRET_CHARACTERS) {
        return absl::InvalidArgumentError(path
                                          + ": the cluster secret can't be read or has fewer than "
                                          + std::to_string(MIN_SECRET_CHARACTERS) + " characters");
    }
    return secret;
}

auto readClusterSecret(const std::string &path) -> absl::StatusOr<std::string>
{
    if (path.empty())
        return std::string();
    auto stream = std::ifstream(path);
    auto text = std::ostringstream();
    text << stream.rdbuf();
    return parseClusterSecret(text.str(), path);
}

} // namespace auburnrail
