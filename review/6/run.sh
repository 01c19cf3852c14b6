#!/bin/sh
# Plays the case; see claim.txt. Exit status: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/jujubepost ] || { echo "build the project first"; exit 2; }
[ -x target/review-2/cases ] || { echo "run review/build-2.sh first"; exit 2; }
exec target/review-2/cases half-open review/6
