#ifndef AUBURNRAIL_STATE_CONFIGURATIONDOCUMENT_H
#define AUBURNRAIL_STATE_CONFIGURATIONDOCUMENT_H

#include <core/Labels.h>
#include <core/Revision.h>

#include <cstdint>
#include <string>

namespace auburnrail {

/// The configuration that was put in force last, stored as its author sent it so that it can be
/// read back unchanged. The objects that it defines have CONFIGURATION_LABEL.
struct ConfigurationDocument
{
    /// Name of the one object of this kind.
    static constexpr auto NAME = "configuration";

    std::string name = NAME;
    std::uint64_t version = 0; ///< Chosen by the author; the highest version is in force.
    std::string text;
    Labels labels;
    Revision changedAt = 0; ///< Revision of the last change of this object.

    auto operator==(const ConfigurationDocument &) const -> bool = default;
};

/// Label of each object that a configuration document defines; its value is "document". Objects
/// that operators created don't have it and stay when a document replaces another.
inline constexpr auto CONFIGURATION_LABEL = "managed-by";
inline constexpr auto CONFIGURATION_LABEL_VALUE = "document";

} // namespace auburnrail

#endif
