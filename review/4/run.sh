#!/bin/sh
# Plays case 4; see claim.txt. 1: the rule was broken, 0: it held, 2: the case couldn't be played.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/kqplatform ] && [ -x target/review/cases ] || exit 2
exec target/review/cases 4 review/4/record.txt
