#!/bin/sh
# Runs the trial "late-removal" of review/standins-3, which review/build-3.sh builds, and writes record.txt here.
# TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
trial=$root/target/review-3/trial
[ -x "$trial" ] && [ -x "$root/target/release/hollywheeld" ] || exit 2
"$trial" late-removal "$root" "$here" &
pid=$!
trap 'kill -9 $(cat /proc/$pid/task/*/children 2>/dev/null) $pid; exit 2' INT TERM
wait $pid
