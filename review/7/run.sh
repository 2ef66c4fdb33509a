#!/bin/sh
# Plays the case of claim.txt. Exits with 1 if the rule was broken, with 0 if it held, and with 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out. Build before: the deploy file's build, and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd) && cd "$here/../.." || exit 2
if ! [ -x target/release/rockflow ] || ! [ -x target/review-2/cases ]; then
    echo "build first: cargo build --release --locked, and review/build-2.sh" >&2
    exit 2
fi
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
CASE_FOLDER=$(mktemp -d) || exit 2
export RUN CASE_FOLDER
driver=
clean_up() {
    [ -z "$driver" ] || kill -KILL "$driver" 2>/dev/null
    for process in $(cat "$CASE_FOLDER/processes" 2>/dev/null); do
        kill -KILL "$process" 2>/dev/null
    done
    rm -rf "$CASE_FOLDER"
}
trap clean_up EXIT
trap 'exit 2' HUP INT PIPE TERM
target/review-2/cases forgotten "$here/record.txt" &
driver=$!
wait "$driver"
status=$?
driver=
exit "$status"
