#!/usr/bin/env bash
folder=$(dirname "$0")
exec "$folder/../case.sh" starve "$folder"
