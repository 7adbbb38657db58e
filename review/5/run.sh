#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
cd "$root" || exit 2
program=target/review/release/review-cases
[ -x "$program" ] || { echo "$program is missing: run review/build.sh"; exit 2; }
exec "$program" waiting-count "$root" "$folder"
