#!/usr/bin/env bash
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of deploy/system.toml and review/build.sh.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
driver=target/review/release/chunked_bodies
if [ ! -x target/release/shorefront ] || [ ! -x "$driver" ]; then
    echo "not built: run the build of deploy/system.toml and review/build.sh" >&2
    exit 2
fi
# The signal at the time limit reaches the driver and the processes that it started.
timeout --signal=KILL 110 "$driver" "$folder"
status=$?
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
