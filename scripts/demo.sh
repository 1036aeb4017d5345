#!/usr/bin/env bash
# Starts an example fleet on loopback, replays its trace, and meanwhile takes a
# data centre out and back, lets a runner leave, kills a router and a control
# process and restarts a router gracefully. Exits
# non-zero if a promise broke. FLEET is maracas or brinco; KQ_DEMO_BREAK=1 makes
# the stand-ins give callers another's answer, which must be found; KQ_KEEP=1
# keeps the logs.
set -euo pipefail
cd "$(dirname "$0")/.."
FLEET=${FLEET:-maracas}
. scripts/lib.sh

start_fleet
mapfile -t DATA_CENTRES < <(sed -n 's/^name: //p' "$EXAMPLE/declarations/datacentres.yaml")
OUT=${DATA_CENTRES[1]}
export KQCTL_CONFIG=$EXAMPLE/settings/kqctl.yaml

try 30 ctl apply -m "first declarations" "$EXAMPLE/declarations" || fail "the declarations were not accepted"
say "declarations applied"

sleep 3 # the grantors open, the servers leave their cold start
bin/kqreplay play -c "$EXAMPLE/settings/replay.yaml" -e "$EVENTS" -d "$RUN/details.json" >"$RUN/report.txt" 2>"$RUN/replay.log" &
REPLAY=$!
PIDS[replay]=$REPLAY
say "replaying; the report follows in about half a minute"
sleep 3
standin "$(runner_ports | head -n 1)" leave
say "the first runner says that it is leaving"
sleep 3
try 10 ctl drain "dc/$OUT" -m "demo" || fail "drain was refused"
note drain "$OUT"
say "$OUT taken out"
sleep 4
kill9 "${ROUTERS[1]}"
say "router ${ROUTERS[1]} killed"
sleep 3
kill9 "${CONTROLS[0]}"
say "control process ${CONTROLS[0]} killed"
sleep 1
relaunch "${ROUTERS[1]}"
say "router ${ROUTERS[1]} started again"
note undrain "$OUT"
try 20 ctl undrain "dc/$OUT" -m "demo" || fail "undrain was refused"
say "$OUT brought back"
sleep 1
relaunch "${CONTROLS[0]}"
say "control process ${CONTROLS[0]} started again"
sleep 2
LAST=${ROUTERS[-1]}
graceful "$LAST"
relaunch "$LAST"
say "router $LAST restarted gracefully"

code=0
wait "$REPLAY" || code=$?
unset "PIDS[replay]"
cat "$RUN/report.txt" "$RUN/replay.log"
[ "$code" = 0 ] && say "no promise broke" || say "FAILED with code $code"
exit "$code"
