#!/bin/sh
# Plays case 1; see claim.txt. 1: the rule was broken, 0: it held, 2: the case couldn't be played.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/kqplatform ] && [ -x target/review/cases ] || exit 2
exec target/review/cases 1 review/1/record.txt
