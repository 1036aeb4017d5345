#!/usr/bin/env bash
# bench.sh score|hunt BENCH ROOT LIST WHY: plays the sites of LIST with the users' bench, one at
# a time, and prints a table. Exits 1 if a gate failed or a hunt broke a rule.
#
# BENCH is the bench's program and ROOT the folder that holds the site files. A line of
# LIST names a site file below ROOT, the days of a hunt and the number of jobs; lines with
# # are comments.
set -euo pipefail
if [ $# -ne 5 ] || { [ "$1" != score ] && [ "$1" != hunt ]; }; then
	echo "usage: bench.sh score|hunt BENCH ROOT LIST WHY" >&2
	exit 2
fi
verb=$1 bench=$2 root=$3 list=$4 why=$5
for f in "$root" "$list"; do
	[ -e "$f" ] || { echo "bench.sh: $f does not exist" >&2; exit 2; }
done
[ -x "$bench" ] || { echo "bench.sh: $bench is not a program" >&2; exit 2; }
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
failed=0
while read -r site days jobs; do
	case $site in '' | '#'*) continue ;; esac
	log=$out/$(basename "$site" .toml).txt
	case $verb in
	score) "$bench" score "$root/$site" --jobs "$jobs" --why "$why" >"$log" 2>&1 || true ;;
	hunt) "$bench" hunt "$root/$site" --days "$days" --jobs "$jobs" --why "$why" >"$log" 2>&1 || true ;;
	esac
	echo "== $site"
	grep -vE '^ |^seen|is played' "$log" || true
	if [ "$verb" = score ]; then
		grep -q '^GATE passed' "$log" || failed=1
	elif grep -q 'BROKEN' "$log" || ! grep -q '^snapshot' "$log"; then
		failed=1
	fi
done <"$list"
exit "$failed"
