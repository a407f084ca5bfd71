#include <settings/ControlSettings.h>
#include <settings/EntrySettings.h>
#include <standin/StandInSettings.h>

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>
#include <string>

namespace auburnrail {

namespace {

auto rowOf(const SettingSpec &spec) -> std::string
{
    auto row = std::ostringstream();
    row << "| " << spec.section << " | " << spec.key << " | " << nameOf(spec.kind) << " | "
        << (spec.required ? "required" : spec.defaultValue) << " | ";
    if (spec.kind == SettingKind::Integer)
        row << spec.minimum << " to " << spec.maximum << " " << spec.unit;
    row << " | " << spec.meaning << " |";
    return row.str();
}

} // namespace

// Guards against a settings page that tells another default, unit or limit than the code has.
TEST_CASE("the settings page shows every setting as the code has it")
{
    auto stream = std::ifstream(AUBURNRAIL_SETTINGS_PAGE);
    auto page = std::ostringstream();
    page << stream.rdbuf();
    for (const auto table :
         {entrySettingsTable(), controlSettingsTable(), standInSettingsTable()}) {
        for (const auto &spec : table) {
            const auto row = rowOf(spec);
            INFO(row);
            CHECK(page.str().find(row) != std::string::npos);
        }
    }
}

} // namespace auburnrail
