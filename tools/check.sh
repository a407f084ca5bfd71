#!/usr/bin/env bash
# All checks: format, thread-safety analysis with Clang, tests with the address and undefined-behaviour
# sanitizers, with the thread sanitizer and without, and lint.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=$(nproc)

step() {
    printf '\n== %s\n' "$1"
}

build() { # build DIR CMAKE_ARGS...
    local dir=$1
    shift
    cmake -S . -B "$dir" -G Ninja "$@" >"$dir.configure.log" 2>&1 || { cat "$dir.configure.log"; exit 1; }
    ninja -C "$dir" >"$dir.build.log" 2>&1 || { tail -n 60 "$dir.build.log"; exit 1; }
}

# Tests listed in KNOWN-RED.txt are printed and not run.
known_red="no test has this name"
if [ -e KNOWN-RED.txt ]; then
    step "known red, not run"
    cat KNOWN-RED.txt
    known_red=$(sed -n 's/^test: //p' KNOWN-RED.txt | sed 's/[][().*+?^$|\\{}]/\\&/g' | paste -sd '|')
fi

run_tests() { # run_tests DIR CTEST_ARGS...
    local dir=$1
    shift
    ctest --timeout 300 --test-dir "$dir" -j "$jobs" --output-on-failure -E "^($known_red)\$" "$@"
    # A program that can't list its tests would pass without one.
    local empty
    empty=$(find "$dir" -name '*_tests-*.cmake' -exec grep -L add_test {} +)
    if [ -n "$empty" ]; then
        echo "test programs that list no test: $empty"
        exit 1
    fi
}

step "format"
tools/check-format.sh

step "build with Clang: thread-safety analysis"
build build-clang -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=Debug

step "tests with the address and undefined-behaviour sanitizers"
build build-address -DAUBURNRAIL_SANITIZER=address -DCMAKE_BUILD_TYPE=Debug
run_tests build-address -LE process | tail -n 15

step "tests with the thread sanitizer"
build build-thread -DAUBURNRAIL_SANITIZER=thread -DCMAKE_BUILD_TYPE=Debug
export TSAN_OPTIONS="suppressions=$PWD/tools/thread-sanitizer.supp"
run_tests build-thread -LE process | tail -n 15

step "tests"
build build
run_tests build

step "lint"
tools/check-lint.sh build-clang
