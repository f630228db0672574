#!/bin/sh
# Plays one case: run-case.sh CASE FOLDER-OF-THE-CASE. Exit status: 0 the rule held, 1 broken, 2 could not run.
set -u
here=$(cd "$2" && pwd)
cd "$here/../.." || exit 2
standins=target/review/standins
if [ ! -x target/release/message-sender ] || [ ! -x "$standins" ]; then
    echo "build first: the build of deploy/balancer.toml, then review/build.sh" >&2
    exit 2
fi
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$RUN" ] || exit 2
export RUN
folder=$(mktemp -d) || exit 2
end() {
    # the stand-ins end the sender themselves; this is for a play that is cut off
    [ -z "${play:-}" ] || kill -KILL "$play" 2>/dev/null
    if [ -s "$folder/pid" ] && [ "$(readlink "/proc/$(cat "$folder/pid")/exe" 2>/dev/null)" = "$PWD/target/release/message-sender" ]; then
        kill -KILL "$(cat "$folder/pid")" 2>/dev/null
    fi
    rm -rf "$folder"
}
trap 'end; exit 2' INT TERM HUP
"$standins" "$1" "$folder" "$here/record.txt" &
play=$!
wait "$play"
status=$?
play=
end
[ "$status" -le 2 ] || status=2
tail -n 4 "$here/record.txt"
exit "$status"
