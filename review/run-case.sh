#!/usr/bin/env bash
# run-case.sh N: runs the program of case N from the root of the repository, with a temporary folder for settings and logs.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/.."
program="review/build/case-$1"
[ -x "$program" ] && [ -x target/apps/cicadalb ] || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=2 110 "$program" "$folder" "review/$1/record.txt"
code=$?
[ -n "${KEEP_LOGS:-}" ] && cp -r "$folder" "$KEEP_LOGS"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
