#!/usr/bin/env bash
# Starts a small fleet on loopback (3 control members, 3 entries in 3 zones, one group of 3 emulated
# endpoints), applies a configuration, writes and reads through two entries in one session, kills the
# primary, writes again, and stops everything. Usage: tools/demo.sh BUILD
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$1/bin
. tools/fleet.sh

call() { # call ENTRY_NUMBER SESSION BODY
    curl -s -m 20 -D "$work/headers" -X POST \
        "http://127.0.0.1:$((base + 40 + $1))/v1/services/logs/statements" \
        -H "Authorization: Bearer $key" -H "X-Auburnrail-Session: $2" \
        -H "X-Auburnrail-Deadline-Ms: 15000" -H "Idempotency-Key: $(date +%s%N)" -d "$3"
}

session_of_last_answer() {
    sed -n 's/^X-Auburnrail-Session: //Ip' "$work/headers" | tr -d '\r'
}

expect() { # expect TEXT ANSWER
    grep -qF -- "$1" <<<"$2" || { echo "expected $1"; exit 1; }
}

echo "starting 3 control members, 3 entries and 3 endpoints"
fleet_start 21000 interior-a coast-a south-a logs

echo "applying the configuration"
operate organisation set shed --rate 100 --burst 50 --label tier=gold
operate service set logs --group logs
operate route set shed-logs --service logs --selector "tier=gold"
key=$(operate key create shed --secret-file "$work/secret" | grep -o 'ar_[^ "]*')

echo "writing through entry-1, reading through entry-2 in the same session"
answer=$(call 1 "" '{"mode":"write","statement":"PUT bale 42"}')
echo "  $answer"
expect '"reason":"completed"' "$answer"
session=$(session_of_last_answer)
answer=$(call 2 "$session" '{"mode":"read","statement":"GET bale"}')
echo "  $answer"
expect '"result":"42"' "$answer"

primary=$(operate --json group show logs | grep -o '"primary": *"[^"]*"' | cut -d'"' -f4)
echo "killing the primary $primary, writing through entry-3"
kill -9 "${pid_of[$primary]}"
wait "${pid_of[$primary]}" 2>/dev/null || true
answer=$(call 3 "$session" '{"mode":"write","statement":"PUT bale 43"}')
echo "  $answer"
expect '"reason":"completed"' "$answer"
session=$(session_of_last_answer)
answer=$(call 1 "$session" '{"mode":"read","statement":"GET bale"}')
echo "  $answer"
expect '"result":"43"' "$answer"
operate status
echo "done"
