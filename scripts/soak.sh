#!/usr/bin/env bash
# Disturbs an example fleet under load: routers and control processes are killed,
# paused and restarted gracefully, runners turn cold, data centres go out and
# back. Exits non-zero if a promise broke. SOAK_SECONDS bounds the load,
# SOAK_SEED draws the faults.
set -euo pipefail
cd "$(dirname "$0")/.."
FLEET=${FLEET:-maracas}
SOAK_SECONDS=${SOAK_SECONDS:-300}
RANDOM=${SOAK_SEED:-1}
. scripts/lib.sh

declare -A COUNT
count() { COUNT[$1]=$((${COUNT[$1]:-0} + 1)); }

kill_router() {
	local r=${ROUTERS[$((RANDOM % ${#ROUTERS[@]}))]}
	kill9 "$r"
	count "router killed"
	sleep $((1 + RANDOM % 3))
	relaunch "$r"
}

kill_control() {
	local c=${CONTROLS[$((RANDOM % ${#CONTROLS[@]}))]}
	kill9 "$c"
	count "control process killed"
	sleep $((1 + RANDOM % 3))
	relaunch "$c"
}

pause_router() {
	local r=${ROUTERS[$((RANDOM % ${#ROUTERS[@]}))]}
	pause "$r"
	count "router paused"
	sleep $((1 + RANDOM % 8))
	resume "$r"
}

pause_control() {
	local c=${CONTROLS[$((RANDOM % ${#CONTROLS[@]}))]}
	pause "$c"
	count "control process paused"
	sleep $((1 + RANDOM % 8))
	resume "$c"
}

restart_router() {
	local r=${ROUTERS[$((RANDOM % ${#ROUTERS[@]}))]}
	graceful "$r"
	count "router restarted gracefully"
	relaunch "$r"
}

restart_control() {
	local c=${CONTROLS[$((RANDOM % ${#CONTROLS[@]}))]}
	graceful "$c"
	count "control process restarted gracefully"
	relaunch "$c"
}

move_data_centre() {
	local dc=${DATA_CENTRES[$((RANDOM % ${#DATA_CENTRES[@]}))]}
	if ctl drain "dc/$dc" -m soak >"$RUN/ctl.log" 2>&1; then
		note drain "$dc"
		count "data centre out and back"
		sleep $((6 + RANDOM % 4))
		note undrain "$dc"
		try 40 ctl undrain "dc/$dc" -m soak || fail "undrain of $dc was refused"
	else
		count "drain refused"
	fi
}

turn_cold() {
	local ports
	mapfile -t ports < <(runner_ports)
	standin $((${ports[$((RANDOM % ${#ports[@]}))]} + RANDOM % 4)) turn-cold
	count "runner turned cold without warning"
}

# two_at_once kills a router while a control process is paused.
two_at_once() {
	local c=${CONTROLS[$((RANDOM % ${#CONTROLS[@]}))]}
	pause "$c"
	count "control process paused"
	kill_router
	sleep $((RANDOM % 3))
	resume "$c"
}

# restart_all restarts every router gracefully, one after another.
restart_all() {
	local r
	for r in "${ROUTERS[@]}"; do
		graceful "$r"
		count "router restarted gracefully"
		relaunch "$r"
		sleep 1
	done
}

FAULTS=(kill_router kill_router pause_router pause_router restart_router restart_router kill_control pause_control
	restart_control move_data_centre turn_cold two_at_once restart_all)
DECK=()

# next_fault brings about the next fault of a shuffled deck, so that none is left out for long.
next_fault() {
	local i
	[ ${#DECK[@]} -gt 0 ] || DECK=("${FAULTS[@]}")
	i=$((RANDOM % ${#DECK[@]}))
	local fault=${DECK[$i]}
	unset "DECK[$i]"
	DECK=("${DECK[@]}")
	"$fault"
}

start_fleet
mapfile -t DATA_CENTRES < <(sed -n 's/^name: //p' "$EXAMPLE/declarations/datacentres.yaml")
export KQCTL_CONFIG=$EXAMPLE/settings/kqctl.yaml
try 30 ctl apply -m "soak" "$EXAMPLE/declarations" || fail "the declarations were not accepted"
say "load for $SOAK_SECONDS s, seed ${SOAK_SEED:-1}"
bin/kqreplay play -c "$EXAMPLE/settings/replay.yaml" -e "$EVENTS" -r "${SOAK_SECONDS}s" -d "$RUN/details.json" >"$RUN/report.txt" 2>"$RUN/replay.log" &
REPLAY=$!
PIDS[replay]=$REPLAY
sleep 5
end=$((SECONDS + SOAK_SECONDS - 15))
while [ $SECONDS -lt $end ] && alive replay; do
	next_fault
	sleep $((RANDOM % 3))
done

code=0
wait "$REPLAY" || code=$?
unset "PIDS[replay]"
cat "$RUN/report.txt" "$RUN/replay.log"
printf '\nfaults brought about by this script\n'
for name in "${!COUNT[@]}"; do printf '  %-40s %8d\n' "$name" "${COUNT[$name]}"; done | sort
[ "$code" = 0 ] && say "no promise broke" || say "FAILED with code $code"
exit "$code"
