#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the trouble, and must exit with 0.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/kqplatform ] && [ -x target/review-2/stage ] || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
	trouble=false
fi
exec target/review-2/stage version-zero target/kqplatform "$here" "$trouble"
