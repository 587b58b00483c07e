#!/usr/bin/env bash
# Eight hosts, an operators' race, a frozen host, an outage with a restart in it, lost answers and a refused edit:
# every host ends on the highest number, none is ever seen to fall, and each host shows the refusal.
# Prints how long each edit took to be in force; the verdict does not depend on it.
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/deployment.sh
trap stop_all EXIT
control="$build/apps/cicadactl"
domains=(salt-lake new-town howrah)
hosts=8
# Long enough for any backoff to reach its maximum.
long_outage_s=20

now_ms() { date +%s%3N; }

fail() {
    echo "FAILED  $1; logs are kept in $work" >&2
    exit 1
}

service() { # service JSON: sets faults of the key-value service
    curl -sf -X POST -d "$1" "http://127.0.0.1:$port_keyvalue/control" >/dev/null
}

edit() { # edit COMMAND...: runs a cicadactl command that must succeed
    "$control" "$@" --key-value "127.0.0.1:$port_keyvalue" --author asha >>"$work/edits.out" 2>&1 || fail "cicadactl $* exits with $?"
}

numbers() { # prints "HOST NUMBER REFUSED" for each host that answers
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
look() { # look NUMBER: whether all hosts have it in force; fails if a host fell. Sets highest
    local host number refused count=0
    while read -r host number refused; do
        [ "$number" -ge "${highest[$host]:-0}" ] || fail "$host fell from ${highest[$host]} to $number"
        highest[$host]=$number
        [ "$number" -ne "$1" ] || count=$((count + 1))
    done < <(numbers)
    [ "$count" -eq "$hosts" ]
}

in_force() { # in_force NUMBER WHAT
    local begin end
    begin=$(now_ms)
    end=$((SECONDS + 30))
    until look "$1"; do
        [ "$SECONDS" -lt "$end" ] || fail "$2: number $1 is not in force on all hosts"
        sleep 0.05
    done
    echo "ok      $2: number $1 on $hosts hosts after $(($(now_ms) - begin)) ms"
}

start_entry_host() { # start_entry_host INDEX
    local seeds=""
    [ "$1" -eq 1 ] || seeds="\"h1@127.0.0.1:$member_h1\""
    start_host "h$1" "${domains[$(($1 % 3))]}" "$seeds"
}

printf 'process-test-secret-0123' >"$work/secret"
start_platform
for index in $(seq $hosts); do start_entry_host "$index"; done
cp examples/directorate/routes.toml examples/directorate/pools.toml "$work"

edit apply "$work/routes.toml" "$work/pools.toml"
in_force 1 "first configuration"

racers=()
for target in draft-model-1 draft-model-2 draft-model-3 ledger-app-1; do
    edit drain "$target" &
    racers+=($!)
done
for racer in "${racers[@]}"; do wait "$racer" || fail "a racing edit was lost"; done
in_force 5 "four operators at once"

kill -STOP "$pid_h8"
edit drain draft-model-4
kill -CONT "$pid_h8"
in_force 6 "a host frozen during the edit"

service '{"down":true}'
kill -KILL "$pid_h3"
wait "$pid_h3" 2>/dev/null || true
unset 'highest[h3]'
start_entry_host 3
in_force 6 "a host restarted in an outage"
edit drain --undo draft-model-4 &
waiting=$!
sleep 1
service '{"down":false}'
wait "$waiting" || fail "the edit of the outage was lost"
in_force 7 "an edit begun in the outage"

service '{"down":true}'
sleep "$long_outage_s"
service '{"down":false}'
edit drain draft-model-4
in_force 8 "an edit after a long outage"

service '{"lose-answers":6}'
edit drain --undo draft-model-3
in_force 9 "lost answers"

sed -i 's/^\[routes.drafts\]/[routes.draft]/' "$work/routes.toml"
"$control" apply "$work/routes.toml" "$work/pools.toml" --key-value "127.0.0.1:$port_keyvalue" --author bela --base 9 >"$work/refused.out" 2>&1 && fail "a renamed route was accepted"
grep -q "did you rename it to 'draft'" "$work/refused.out" || fail "the refusal does not name the new route"
shows_refusal() { [ "$(numbers | awk '$3 == 1' | wc -l)" -eq "$hosts" ]; }
wait_true 30 shows_refusal || fail "a host does not show the refusal"
in_force 9 "a refused edit, shown by every host"
rm -rf "$work"
