#!/usr/bin/env bash
# Edits the configuration of eight hosts: by concurrent operators, with a frozen host, during an outage of the key-value service
# in which a host restarts, with lost answers, and with an edit that is refused. Checks that every host ends on the highest
# configuration number, that no host's number is ever seen to decrease, and that each host shows the refusal.
# Prints how long each edit took to be in force on all hosts; the result of the test does not depend on it.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/deployment.sh
trap stop_all EXIT
control="$build/apps/cicadactl"
domains=(salt-lake new-town howrah)
hosts=8
# Long enough for every backoff to reach its maximum.
long_outage_s=20

now_ms() { date +%s%3N; }

fail() {
    echo "FAILED  $1; logs are kept in $work" >&2
    exit 1
}

set_faults() { # set_faults JSON: sets faults of the key-value service
    curl -sf -X POST -d "$1" "http://127.0.0.1:$port_keyvalue/control" >/dev/null
}

edit() { # edit COMMAND...: runs a cicadactl command and fails the test if the command fails
    "$control" "$@" --key-value "127.0.0.1:$port_keyvalue" --author asha >>"$work/edits.out" 2>&1 || fail "cicadactl $* exits with $?"
}

print_numbers() { # prints "HOST NUMBER REFUSED" for each host that answers
    local arguments=() index
    for index in $(seq $hosts); do
        local admin="admin_h$index"
        arguments+=(--host "127.0.0.1:${!admin}")
    done
    { "$control" state "${arguments[@]}" --secret-file "$work/secret" --json || true; } | python3 -c '
import json, sys
for state in json.load(sys.stdin)["hosts"].values():
    print(state["host"], state["configuration"], len(state["refused-edits"]))'
}

declare -A highest
all_hosts_at() { # all_hosts_at NUMBER: whether the configuration NUMBER is in force on all hosts. Updates highest; fails the test if a host's number decreased
    local host number refused count=0
    while read -r host number refused; do
        [ "$number" -ge "${highest[$host]:-0}" ] || fail "configuration number of $host decreased from ${highest[$host]} to $number"
        highest[$host]=$number
        [ "$number" -ne "$1" ] || count=$((count + 1))
    done < <(print_numbers)
    [ "$count" -eq "$hosts" ]
}

wait_in_force() { # wait_in_force NUMBER WHAT: waits until the configuration NUMBER is in force on all hosts and prints the time
    local begin end
    begin=$(now_ms)
    end=$((SECONDS + 30))
    until all_hosts_at "$1"; do
        [ "$SECONDS" -lt "$end" ] || fail "$2: configuration $1 is not in force on all hosts after 30 s"
        sleep 0.05
    done
    echo "ok      $2: number $1 on $hosts hosts after $(($(now_ms) - begin)) ms"
}

start_indexed_host() { # start_indexed_host INDEX: starts host hINDEX, with h1 as the seed of all others
    local seeds=""
    [ "$1" -eq 1 ] || seeds="\"h1@127.0.0.1:$member_h1\""
    start_host "h$1" "${domains[$(($1 % 3))]}" "$seeds"
}

printf 'process-test-secret-0123' >"$work/secret"
start_platform
for index in $(seq $hosts); do start_indexed_host "$index"; done
cp examples/directorate/routes.toml examples/directorate/pools.toml "$work"

edit apply "$work/routes.toml" "$work/pools.toml"
wait_in_force 1 "first configuration"

edits=()
for target in draft-model-1 draft-model-2 draft-model-3 ledger-app-1; do
    edit drain "$target" &
    edits+=($!)
done
for pid in "${edits[@]}"; do wait "$pid" || fail "a concurrent edit was lost"; done
wait_in_force 5 "four operators at once"

kill -STOP "$pid_h8"
edit drain draft-model-4
kill -CONT "$pid_h8"
wait_in_force 6 "a host frozen during the edit"

set_faults '{"down":true}'
kill -KILL "$pid_h3"
wait "$pid_h3" 2>/dev/null || true
unset 'highest[h3]'
start_indexed_host 3
wait_in_force 6 "a host restarted in an outage"
edit drain --undo draft-model-4 &
edit_pid=$!
sleep 1
set_faults '{"down":false}'
wait "$edit_pid" || fail "the edit begun in the outage was lost"
wait_in_force 7 "an edit begun in the outage"

set_faults '{"down":true}'
sleep "$long_outage_s"
set_faults '{"down":false}'
edit drain draft-model-4
wait_in_force 8 "an edit after a long outage"

set_faults '{"lose-answers":6}'
edit drain --undo draft-model-3
wait_in_force 9 "lost answers"

sed -i 's/^\[routes.drafts\]/[routes.draft]/' "$work/routes.toml"
"$control" apply "$work/routes.toml" "$work/pools.toml" --key-value "127.0.0.1:$port_keyvalue" --author bela --base 9 >"$work/refused.out" 2>&1 && fail "a renamed route was accepted"
grep -q "did you rename it to 'draft'" "$work/refused.out" || fail "the refusal does not name the new route"
shows_refusal() { [ "$(print_numbers | awk '$3 == 1' | wc -l)" -eq "$hosts" ]; }
wait_true 30 shows_refusal || fail "a host does not show the refusal"
wait_in_force 9 "a refused edit, shown by every host"
rm -rf "$work"
