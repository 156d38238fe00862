#!/usr/bin/env bash
# Plays one case: case.sh NAME FOLDER. It exits with 1 if the rule was broken, 0 if it held and 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
if [ ! -x target/review/standin ] || [ ! -x target/samphirestiled ]; then
	echo "not built: run the build of deploy/system.toml and review/build.sh" >&2
	exit 2
fi
trouble=true
[ "${TROUBLE:-1}" != 0 ] || trouble=false
timeout --kill-after=3 115 target/review/standin -case "$1" -trouble="$trouble" -record "$folder/record.txt"
status=$?
case $status in
0 | 1 | 2) exit "$status" ;;
*) exit 2 ;;
esac
