#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/standin
