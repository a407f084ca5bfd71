#ifndef AUBURNRAIL_PROCESSTEST_TESTFLEETSETTINGS_H
#define AUBURNRAIL_PROCESSTEST_TESTFLEETSETTINGS_H

#include <cstddef>
#include <string>
#include <vector>

namespace auburnrail {

/// Size and names of a TestFleet.
struct TestFleetSettings
{
    std::string binDirectory; ///< Folder of the programs under test.
    std::size_t controls = 3;
    std::size_t entries = 3;
    std::size_t endpointsPerGroup = 3;
    std::vector<std::string> groups = {"logs"}; ///< Each is also the name of a service.
    std::vector<std::string> zones = {"interior-a", "coast-a", "south-a"};

    /// Control members and entries reach control members through links that isolate() cuts.
    /// Endpoints are cut by their own faults.
    bool links = false;

    std::string standInExtra; ///< Further lines for each endpoint's [standin] section.
};

} // namespace auburnrail

#endif
