#!/bin/bash
# Plays the case long over the programs that the deploy file and review/build-2.sh build. See claim.txt.
# TROUBLE=0 leaves out the disruption. Exit: 1 the rule was broken, 0 it held, 2 the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/shedhoistd ] && [ -x target/kit2 ] || { echo "build first: the build line of deploy/system.toml, and review/build-2.sh" >&2; exit 2; }
timeout 110 target/kit2 long "$PWD" "$here/record.txt"
code=$?
[ "$code" -le 2 ] && exit "$code"
exit 2
