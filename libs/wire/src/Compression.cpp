#include "Compression.h"

#include <absl/strings/str_cat.h>

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>

#include <array>
#include <sstream>

namespace auburnrail::detail {

namespace {

constexpr auto CHUNK_BYTES = std::size_t(16) * 1024;

} // namespace

auto compress(const std::string &bytes) -> std::string
{
    auto result = std::ostringstream();
    auto deflater = Poco::DeflatingOutputStream(result, Poco::DeflatingStreamBuf::STREAM_ZLIB);
    deflater << bytes;
    deflater.close();
    return result.str();
}

auto decompress(const std::string &bytes, std::size_t size) -> absl::StatusOr<std::string>
{
    auto source = std::istringstream(bytes);
    auto result = std::string();
    try {
        auto inflater = Poco::InflatingInputStream(source, Poco::InflatingStreamBuf::STREAM_ZLIB);
        // Streams report errors through their state unless asked to pass exceptions on.
        inflater.exceptions(std::ios::badbit);
        auto chunk = std::array<char, CHUNK_BYTES>();
        while (inflater && result.size() <= size) {
            inflater.read(chunk.data(), chunk.size());
            result.append(chunk.data(), static_cast<std::size_t>(inflater.gcount()));
        }
    } catch (const Poco::Exception &error) {
        return absl::DataLossError(absl::StrCat("decompression failed: ", error.displayText()));
    } catch (const std::ios::failure &error) {
        return absl::DataLossError(absl::StrCat("decompression failed: ", error.what()));
    }
    if (result.size() != size) {
        return absl::DataLossError(
            absl::StrCat("decompressed bytes differ from the announced size of ", size));
    }
    return result;
}

} // namespace auburnrail::detail
