#!/usr/bin/env bash
folder=$(dirname "$0")
exec "$folder/../case.sh" orphan "$folder"
