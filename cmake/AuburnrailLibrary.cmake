# Catch2's main() is compiled once and linked into every test program.
if(AUBURNRAIL_TESTS)
    add_library(auburnrail_test_main OBJECT ${CMAKE_SOURCE_DIR}/libs/testing/CatchMain.cpp)
    target_link_libraries(auburnrail_test_main PUBLIC auburnrail_options Catch2::Catch2)
endif()

# auburnrail_library(NAME [DEPENDS target...] [PACKAGES target...])
# Adds libs/NAME as a static library, and its tests as one program, from the files in src/ and tests/;
# a library without sources has headers only.
# DEPENDS are public, PACKAGES are private third-party targets.
function(auburnrail_library NAME)
    cmake_parse_arguments(ARG "" "" "DEPENDS;PACKAGES" ${ARGN})
    file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
    file(GLOB TESTS CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
    if(SOURCES)
        add_library(auburnrail_${NAME} STATIC ${SOURCES})
        target_include_directories(auburnrail_${NAME} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
                                   PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
        target_link_libraries(auburnrail_${NAME} PUBLIC auburnrail_options ${ARG_DEPENDS}
                              PRIVATE ${ARG_PACKAGES})
        # Generated code is not held to the project's warnings.
        file(GLOB GENERATED CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/gen/*.cpp)
        set_source_files_properties(${GENERATED} PROPERTIES COMPILE_OPTIONS -w)
    else()
        add_library(auburnrail_${NAME} INTERFACE)
        target_include_directories(auburnrail_${NAME}
                                   INTERFACE ${CMAKE_CURRENT_SOURCE_DIR}/include)
        target_link_libraries(auburnrail_${NAME} INTERFACE auburnrail_options ${ARG_DEPENDS})
    endif()
    if(TESTS AND AUBURNRAIL_TESTS)
        add_executable(auburnrail_${NAME}_tests ${TESTS})
        target_include_directories(auburnrail_${NAME}_tests
                                   PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src
                                   ${CMAKE_CURRENT_SOURCE_DIR}/tests)
        target_link_libraries(auburnrail_${NAME}_tests
                              PRIVATE auburnrail_${NAME} auburnrail_test_main Catch2::Catch2
                              ${RAPIDCHECK_LIBRARY} ${ARG_PACKAGES})
        catch_discover_tests(auburnrail_${NAME}_tests TEST_PREFIX "${NAME}: "
                             DISCOVERY_MODE PRE_TEST PROPERTIES TIMEOUT 300)
    endif()
endfunction()

# auburnrail_program(NAME [DEPENDS target...])
# Adds the program apps/NAME, made of the .cpp files in that folder.
function(auburnrail_program NAME)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${NAME} ${SOURCES})
    target_link_libraries(${NAME} PRIVATE auburnrail_options ${ARG_DEPENDS})
    set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
