# Functions that start and stop a small fleet on loopback; sourced by demo.sh and bench.sh.
# Needs $bin, the folder of the programs. fleet_start sets $work, $control and $entries.

pids=()
declare -A pid_of

fleet_stop() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}

fleet_write_control() { # fleet_write_control NUMBER ZONE
    cat >"$work/control-$1.ini" <<INI
[control]
cluster = demo
member = control-$1
zone = $2
consensus_address = 127.0.0.1:$((base + 10 + $1))
members = control-1@127.0.0.1:$((base + 11)), control-2@127.0.0.1:$((base + 12)), control-3@127.0.0.1:$((base + 13))
entries_address = 127.0.0.1:$((base + 20 + $1))
operators_address = 127.0.0.1:$((base + 30 + $1))
member_operators = control-1@127.0.0.1:$((base + 31)), control-2@127.0.0.1:$((base + 32)), control-3@127.0.0.1:$((base + 33))
data_directory = $work/control-$1-data
[security]
cluster_secret_file = $work/secret
INI
}

fleet_write_entry() { # fleet_write_entry NUMBER ZONE
    cat >"$work/entry-$1.ini" <<INI
[entry]
instance = entry-$1
zone = $2
callers_address = 127.0.0.1:$((base + 40 + $1))
operators_address = 127.0.0.1:$((base + 50 + $1))
[control]
members = control-1@127.0.0.1:$((base + 21)), control-2@127.0.0.1:$((base + 22)), control-3@127.0.0.1:$((base + 23))
[security]
cluster_secret_file = $work/secret
INI
}

fleet_write_endpoint() { # fleet_write_endpoint GROUP NUMBER ZONE PORT
    cat >"$work/$1-$2.ini" <<INI
[standin]
endpoint = $1-$2
group = $1
zone = $3
address = 127.0.0.1:$4
entries = 127.0.0.1:$((base + 41)), 127.0.0.1:$((base + 42)), 127.0.0.1:$((base + 43))
${standin_extra:-}
INI
}

fleet_run() { # fleet_run PROGRAM NAME
    "$bin/$1" "$work/$2.ini" >"$work/$2.log" 2>&1 &
    pids+=($!)
    pid_of[$2]=$!
}

fleet_start() { # fleet_start BASE_PORT ZONE_1 ZONE_2 ZONE_3 GROUP...
    base=$1
    local zones=("$2" "$3" "$4")
    shift 4
    work=$(mktemp -d)
    trap fleet_stop EXIT
    echo "demo-cluster-secret" >"$work/secret"
    local number group port=$((base + 60))
    for number in 1 2 3; do
        fleet_write_control "$number" "${zones[number - 1]}"
        fleet_write_entry "$number" "${zones[number - 1]}"
        "$bin/auburnrail-control" --init "$work/control-$number.ini"
    done
    for number in 1 2 3; do
        fleet_run auburnrail-control "control-$number"
        fleet_run auburnrail-entry "entry-$number"
    done
    for group in "$@"; do
        for number in 1 2 3; do
            fleet_write_endpoint "$group" "$number" "${zones[number - 1]}" "$port"
            fleet_run auburnrail-standin "$group-$number"
            port=$((port + 1))
        done
    done
    control="127.0.0.1:$((base + 31)),127.0.0.1:$((base + 32)),127.0.0.1:$((base + 33))"
    entries="127.0.0.1:$((base + 41)),127.0.0.1:$((base + 42)),127.0.0.1:$((base + 43))"
    for number in 1 2 3; do
        fleet_wait_ready "127.0.0.1:$((base + 50 + number))"
    done
}

fleet_wait_ready() { # fleet_wait_ready OPERATORS_ADDRESS
    for _ in $(seq 300); do
        curl -sf -m 2 "http://$1/readyz" >/dev/null && return 0
        sleep 0.1
    done
    echo "$1 did not get ready" >&2
    exit 1
}

operate() { # operate WORDS...
    "$bin/auburnrail" --control "$control" "$@"
}
