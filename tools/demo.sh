#!/usr/bin/env bash
# Starts one endpoint and one entry on loopback, writes and reads one value through the entry, and
# stops both. Usage: tools/demo.sh BUILD
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$1/bin
work=$(mktemp -d)
pids=()
finish() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait
    rm -rf "$work"
}
trap finish EXIT

echo demo-secret >"$work/secret"
cat >"$work/entry.ini" <<INI
[entry]
instance = entry-1
zone = interior-a
callers_address = 127.0.0.1:17001
operators_address = 127.0.0.1:17002
[control]
members = control-1@127.0.0.1:17101
[security]
cluster_secret_file = $work/secret
INI
cat >"$work/endpoint.ini" <<INI
[standin]
endpoint = logs-1
group = logs
zone = interior-a
address = 127.0.0.1:17201
entries = 127.0.0.1:17001
primary = true
announce_interval_ms = 100
INI
"$bin/auburnrail-entry" "$work/entry.ini" 2>"$work/entry.log" &
pids+=($!)
"$bin/auburnrail-standin" "$work/endpoint.ini" 2>"$work/endpoint.log" &
pids+=($!)

post() {
    curl -s -m 5 -X POST "http://127.0.0.1:17001/v1/services/logs/statements" -d "$1"
}

for _ in $(seq 50); do
    post '{"mode":"read","statement":"GET probe"}' | grep -q '"outcome":"ran"' && break
    sleep 0.1
done
echo "write: $(post '{"mode":"write","statement":"PUT bale 42"}')"
answer=$(post '{"mode":"read","statement":"GET bale"}')
echo "read:  $answer"
grep -q '"result":"42"' <<<"$answer"
