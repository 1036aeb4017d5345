# Functions shared by the demo and the soak. To be sourced; needs FLEET.
# Every process started here is ended here, by its own pid.

ROOT=$PWD
EXAMPLE=$ROOT/examples/$FLEET
RUN=$(mktemp -d "${TMPDIR:-/tmp}/kumquathollow-$FLEET-XXXXXX")
EVENTS=$RUN/events.jsonl
declare -A PIDS PAUSED
ROUTERS=() CONTROLS=()

say() { printf '%s  %s\n' "$(date +%T)" "$*"; }

# fail prints a message and the last lines of a process's log, and ends the run.
fail() {
	say "FAILED: $1"
	[ -z "${2:-}" ] || tail -n 5 "$RUN/$2.log" | sed 's/^/    /'
	exit 1
}

# note EVENT TARGET tells the checker what is done to the fleet.
note() { printf '{"at":%s,"action":"%s","target":"%s"}\n' "$(date +%s%3N)" "$1" "$2" >>"$EVENTS"; }

# launch NAME starts a process by the name of its settings file. It runs in the
# run's own folder, so relative data folders lie there.
launch() {
	local name=$1 bin
	case $name in
	c[0-9]*) bin=kqcontrol ;;
	standins) bin=kqstandin ;;
	*) bin=kqrouter ;;
	esac
	local conf=$EXAMPLE/settings/$name.yaml
	[ -f "$RUN/$name.yaml" ] && conf=$RUN/$name.yaml
	(cd "$RUN" && exec "$ROOT/bin/$bin" --config "$conf") >>"$RUN/$name.log" 2>&1 &
	PIDS[$name]=$!
}

alive() { kill -0 "${PIDS[$1]}" 2>/dev/null; }

# kill9 NAME ends a process without warning.
kill9() {
	note kill "$1"
	kill -9 "${PIDS[$1]}"
	wait "${PIDS[$1]}" 2>/dev/null || true
}

# relaunch NAME starts a process again.
relaunch() {
	launch "$1"
	note start "$1"
}

# graceful NAME ends a process by SIGTERM and waits for it.
graceful() {
	note stop "$1"
	kill -TERM "${PIDS[$1]}"
	wait "${PIDS[$1]}" || say "$1 ended with code $?"
	note stopped "$1"
}

# standin PORT ACTION tells a stand-in to leave, or to turn cold.
standin() {
	exec 3<>"/dev/tcp/127.0.0.1/$1"
	printf 'POST /standin/%s HTTP/1.0\r\nContent-Length: 0\r\n\r\n' "$2" >&3
	cat <&3 >/dev/null
	exec 3>&-
}

# runner_ports prints the first port of each group of runners.
runner_ports() {
	sed -n 's/^ *- {prefix.*address: "[^:]*:\([0-9]*\)", profile: runner}/\1/p' "$EXAMPLE/settings/standins.yaml"
}

pause() {
	note pause "$1"
	kill -STOP "${PIDS[$1]}"
	PAUSED[$1]=1
}

resume() {
	kill -CONT "${PIDS[$1]}"
	unset "PAUSED[$1]"
	note resume "$1"
}

# cleanup ends all processes of this run: first by SIGTERM, then without warning.
cleanup() {
	local code=$? name
	trap - EXIT INT TERM
	for name in "${!PAUSED[@]}"; do kill -CONT "${PIDS[$name]}" 2>/dev/null || true; done
	for name in "${!PIDS[@]}"; do kill -TERM "${PIDS[$name]}" 2>/dev/null || true; done
	for _ in $(seq 30); do
		local left=0
		for name in "${!PIDS[@]}"; do alive "$name" && left=1; done
		[ $left = 1 ] || break
		sleep 0.1
	done
	for name in "${!PIDS[@]}"; do kill -9 "${PIDS[$name]}" 2>/dev/null || true; done
	wait 2>/dev/null || true
	if [ "$code" = 0 ] && [ -z "${KQ_KEEP:-}" ]; then rm -rf "$RUN"; else say "logs are kept in $RUN"; fi
	exit "$code"
}

# start_fleet starts every process of the example and checks that all live.
start_fleet() {
	local f name
	[ -d "$EXAMPLE" ] || fail "there is no example fleet named $FLEET"
	: >"$EVENTS"
	trap cleanup EXIT
	trap 'exit 130' INT TERM
	# A stand-in that gives another caller's answer proves that the checks work.
	[ -z "${KQ_DEMO_BREAK:-}" ] || sed 's/misanswer: 0$/misanswer: 0.02/' "$EXAMPLE/settings/standins.yaml" >"$RUN/standins.yaml"
	for f in "$EXAMPLE"/settings/*.yaml; do
		name=$(basename "$f" .yaml)
		case $name in
		r[0-9]*) ROUTERS+=("$name") ;;
		c[0-9]*) CONTROLS+=("$name") ;;
		standins) ;;
		*) continue ;;
		esac
		launch "$name"
	done
	sleep 0.5
	for name in "${!PIDS[@]}"; do
		alive "$name" || fail "$name did not start" "$name"
	done
	say "started ${#CONTROLS[@]} kqcontrol, ${#ROUTERS[@]} kqrouter and the stand-ins"
}

ctl() { "$ROOT/bin/kqctl" "$@"; }

# try N COMMAND... repeats a command each 0.5 s until it succeeds.
try() {
	local n=$1
	shift
	for _ in $(seq "$n"); do
		"$@" >"$RUN/try.log" 2>&1 && return 0
		sleep 0.5
	done
	cat "$RUN/try.log"
	return 1
}
