#!/bin/sh
# Plays this case; exit 1: the rule was broken, 0: it held, 2: it could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
[ -x "$root/target/review/standins" ] || { echo "run review/build.sh first"; exit 2; }
TROUBLE="${TROUBLE:-1}" exec "$root/target/review/standins" peers "$root" "$folder"
