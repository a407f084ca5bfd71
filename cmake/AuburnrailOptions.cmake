# Compiler options and third-party packages shared by every target.
add_library(auburnrail_options INTERFACE)
target_compile_options(auburnrail_options INTERFACE -Wall -Wextra -Wpedantic -Werror
                       # Aggregates are filled by name; members left out have defaults.
                       -Wno-missing-field-initializers)
if(CMAKE_CXX_COMPILER_ID STREQUAL "Clang")
    target_compile_options(auburnrail_options INTERFACE -Wthread-safety -Wshadow)
else()
    # Constructor parameters share the names of the members they initialise.
    target_compile_options(auburnrail_options INTERFACE -Wshadow=local)
endif()

if(AUBURNRAIL_SANITIZER STREQUAL "address")
    set(AUBURNRAIL_SANITIZER_FLAGS -fsanitize=address,undefined -fno-sanitize-recover=all)
elseif(AUBURNRAIL_SANITIZER STREQUAL "thread")
    # GCC warns that the sanitizer does not model fences; no code here relies on one.
    set(AUBURNRAIL_SANITIZER_FLAGS -fsanitize=thread -Wno-tsan)
endif()
if(AUBURNRAIL_SANITIZER)
    if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
        # False positives in the standard library's <regex> when GCC 12 instruments it.
        target_compile_options(auburnrail_options INTERFACE -Wno-maybe-uninitialized)
    endif()
    target_compile_options(auburnrail_options INTERFACE ${AUBURNRAIL_SANITIZER_FLAGS} -g -O1
                           -fno-omit-frame-pointer)
    target_link_options(auburnrail_options INTERFACE ${AUBURNRAIL_SANITIZER_FLAGS})
endif()

# Lock ranks are checked in debug and sanitizer builds and in all tests.
option(AUBURNRAIL_CHECK_LOCK_ORDER "Check the lock order at run time" ON)
if(AUBURNRAIL_CHECK_LOCK_ORDER)
    target_compile_definitions(auburnrail_options INTERFACE AUBURNRAIL_CHECK_LOCK_ORDER=1)
endif()

find_package(Threads REQUIRED)
find_package(absl REQUIRED)
find_package(Poco REQUIRED COMPONENTS Foundation Net Util JSON Crypto)

find_library(THRIFT_LIBRARY thrift REQUIRED)
find_library(LOG4CXX_LIBRARY log4cxx REQUIRED)
target_link_libraries(auburnrail_options INTERFACE Threads::Threads)

# A deployment builds the daemons alone.
option(AUBURNRAIL_TESTS "Build tests and benchmarks" ON)
if(AUBURNRAIL_TESTS)
    find_package(benchmark REQUIRED)
    find_package(Catch2 2 REQUIRED)
    include(Catch)
    find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
endif()
