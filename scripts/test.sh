#!/usr/bin/env bash
# Runs the tests. Specs listed in KNOWN-RED.txt are passed over and printed.
#
# A line of KNOWN-RED.txt that starts with "package" names a package and a
# regular expression of its specs, separated by " | ".
set -euo pipefail
cd "$(dirname "$0")/.."

known_red=KNOWN-RED.txt
declare -A skip
if [ -f "$known_red" ]; then
	while IFS='|' read -r kind package pattern; do
		[ "$(echo "$kind" | xargs)" = package ] || continue
		package=$(echo "$package" | xargs)
		pattern=$(echo "$pattern" | sed 's/^ *//; s/ *$//')
		echo "known red, passed over: $package: $pattern"
		skip[$package]="${skip[$package]:+${skip[$package]}|}$pattern"
	done <"$known_red"
fi

# Packages that start processes run alone and last, because load on the machine
# changes what they measure. The others run three at a time: the specs of
# membership use durations of a few milliseconds.
parallel=3
module=$(go list -m)
plain=()
for package in $(go list ./... | sed "s|^$module/||"); do
	case $package in
	test | test/*) continue ;;
	esac
	[ -n "${skip[$package]:-}" ] || plain+=("./$package")
done
go test -p "$parallel" "$@" "${plain[@]}"
for package in "${!skip[@]}"; do
	case $package in
	test | test/*) continue ;;
	esac
	go test "$@" "./$package" -ginkgo.skip "${skip[$package]}"
done
[ -z "${SKIP_PROOFS:-}" ] || exit 0
for package in $(go list ./test/... | sed "s|^$module/||"); do
	if [ -n "${skip[$package]:-}" ]; then
		go test "./$package" -count=1 -timeout 15m -ginkgo.skip "${skip[$package]}"
	else
		go test "./$package" -count=1 -timeout 15m
	fi
done
