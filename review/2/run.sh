#!/usr/bin/env bash
# Shows the case. Needs the build of the deploy file and review/build.sh.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/harness ] && [ -x ../../target/flamingoreeld ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec ../bin/harness other-writer ../../target/flamingoreeld record.txt
