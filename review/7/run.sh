#!/usr/bin/env bash
# Plays this case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held and 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/flamingoreeld ] && [ -x target/review-2/standins ] || { echo "not built"; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec target/review-2/standins removed review/7/record.txt
