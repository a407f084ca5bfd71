#include <SessionTokenBytes.h>

#include <cstdint>

namespace auburnrail::detail {

namespace {

constexpr auto VERSION = std::uint8_t{1};
constexpr auto BITS_PER_BYTE = 8U;

auto appendInteger(std::string &out, std::uint64_t value, std::size_t bytes) -> void
{
    for (auto i = std::size_t{0}; i < bytes; ++i)
        out += static_cast<char>(static_cast<std::uint8_t>(value >> (BITS_PER_BYTE * i)));
}

auto appendName(std::string &out, std::string_view name) -> void
{
    appendInteger(out, name.size(), 1);
    out += name;
}

auto readInteger(std::string_view &in, std::size_t bytes) -> std::optional<std::uint64_t>
{
    if (in.size() < bytes)
        return std::nullopt;
    auto value = std::uint64_t{0};
    for (auto i = std::size_t{0}; i < bytes; ++i)
        value |= std::uint64_t{static_cast<std::uint8_t>(in[i])} << (BITS_PER_BYTE * i);
    in.remove_prefix(bytes);
    return value;
}

auto readName(std::string_view &in) -> std::optional<std::string>
{
    const auto size = readInteger(in, 1);
    if (!size || in.size() < *size)
        return std::nullopt;
    auto name = std::string(in.substr(0, *size));
    in.remove_prefix(*size);
    return name;
}

} // namespace

auto encodeTokenBytes(const SessionToken &token) -> std::string
{
    auto out = std::string();
    appendInteger(out, VERSION, 1);
    appendInteger(out, static_cast<std::uint64_t>(token.issuedAt.time_since_epoch().count()),
                  sizeof(std::uint64_t));
    appendName(out, token.organisation);
    auto count = std::size_t{0};
    auto groups = std::string();
    for (const auto &seen : token.groups) {
        if (seen.group.size() > MAX_NAME_BYTES || count == SessionToken::MAX_GROUPS)
            continue;
        ++count;
        appendName(groups, seen.group);
        appendInteger(groups, seen.position.term, sizeof(std::uint64_t));
        appendInteger(groups, seen.position.index, sizeof(std::uint64_t));
    }
    appendInteger(out, count, 1);
    return out + groups;
}

auto decodeTokenBytes(std::string_view bytes) -> std::optional<SessionToken>
{
    const auto version = readInteger(bytes, 1);
    const auto issuedAt = readInteger(bytes, sizeof(std::uint64_t));
    auto organisation = readName(bytes);
    const auto count = readInteger(bytes, 1);
    if (version != VERSION || !issuedAt || !organisation || !count
        || *count > SessionToken::MAX_GROUPS) {
        return std::nullopt;
    }
    auto token = SessionToken{
        .organisation = *std::move(organisation),
        .groups = {},
        .issuedAt =
            std::chrono::sys_seconds(std::chrono::seconds(static_cast<std::int64_t>(*issuedAt))),
    };
    for (auto i = std::uint64_t{0}; i < *count; ++i) {
        auto group = readName(bytes);
        const auto term = readInteger(bytes, sizeof(std::uint64_t));
        const auto index = readInteger(bytes, sizeof(std::uint64_t));
        if (!group || !index)
            return std::nullopt;
        token.groups.push_back(
            {.group = *std::move(group), .position = Position{.term = *term, .index = *index}});
    }
    if (!bytes.empty())
        return std::nullopt;
    return token;
}

} // namespace auburnrail::detail
