#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on into target/, beside the programs of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./review/standin-2
