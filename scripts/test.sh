#!/usr/bin/env bash
# Runs the tests. Specs listed in KNOWN-RED.txt are skipped and printed.
set -euo pipefail
cd "$(dirname "$0")/.."

declare -A skip
for package in $(scripts/known_red.sh); do
	skip[$package]=$(scripts/known_red.sh "$package")
	echo "known red, passed over: $package: ${skip[$package]}"
done

# Packages that start processes run alone and last, because load on the machine
# changes what they measure. The others run three at a time, because the specs of
# membership depend on durations of a few milliseconds.
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
# SKIP_PROOFS skips the packages that start processes.
[ -z "${SKIP_PROOFS:-}" ] || exit 0
for package in $(go list ./test/... | sed "s|^$module/||"); do
	if [ -n "${skip[$package]:-}" ]; then
		go test "./$package" -count=1 -timeout 15m -ginkgo.skip "${skip[$package]}"
	else
		go test "./$package" -count=1 -timeout 15m
	fi
done
