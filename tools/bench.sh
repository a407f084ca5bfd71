#!/usr/bin/env bash
# Measures one deployment profile against the real processes: a calm run, a run with one organisation
# at 5 times its rate, and a run in which a primary is killed; and drives an endpoint directly for the
# proxy's own cost. Writes one JSON file for each run. Usage: tools/bench.sh BUILD PROFILE SECONDS OUT
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$1/bin
profile=$2
seconds=$3
out=$4
seed=${SEED:-1}
mkdir -p "$out"
. tools/fleet.sh

if [ "$profile" = kootenay ]; then
    zones=(interior-a coast-a south-a)
    services=(readings schedules audits)
    standin_extra="connection_limit = 20
lag_ms = 20
exchange_delay_ms = 4"
else
    zones=(oamaru-a timaru-b porirua-c)
    services=(bales loads accounts)
    standin_extra="connection_limit = 50
lag_ms = 20
exchange_delay_ms = 3"
fi

load() { # load NAME OPTIONS...
    local name=$1
    shift
    "$bin/auburnrail-load" --entries ${entries//,/ } --profile "$profile" --seconds "$seconds" \
        --seed "$seed" --keys "$work/keys" --json "$out/$profile-$name.json" "$@" >/dev/null
    echo "$profile $name: $(cat "$out/$profile-$name.json")"
}

fleet_start "${BASE_PORT:-22000}" "${zones[@]}" "${services[@]}"
"$bin/auburnrail-load" --profile "$profile" --organisations >"$work/organisations"
while read -r name rate burst; do
    operate organisation set "$name" --rate "$rate" --burst "$burst" --label tier=all >/dev/null
    echo "$name=$(operate key create "$name" --secret-file "$work/secret" | grep -o 'ar_[^ "]*')" \
        >>"$work/keys"
done <"$work/organisations"
for service in "${services[@]}"; do
    operate service set "$service" --group "$service" >/dev/null
    operate route set "$service" --service "$service" --selector tier >/dev/null
done

sleep 3 # The quota ledger of a new leader lends after its lease wait.
load calm
load overload --overload "$(head -n 1 "$work/organisations" | cut -d' ' -f1)" --overload-factor 5
primary=$(operate --json group show "${services[0]}" | grep -o '"primary": *"[^"]*"' | cut -d'"' -f4)
(
    sleep $((seconds / 2))
    kill -9 "${pid_of[$primary]}"
) &
load failover
wait $!
