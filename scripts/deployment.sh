# Sourced by scripts that start a small deployment on loopback. Sets build (build folder), work (temporary folder) and pids (started
# processes). The sourcing script has to call stop_all on exit.

build="${BUILD_DIR:-build}"
work=$(mktemp -d)
pids=()

stop_all() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
}

wait_line() { # wait_line FILE PATTERN: waits until a line of FILE matches and prints it
    for _ in $(seq 200); do
        if grep -m1 -E "$2" "$1" 2>/dev/null; then return 0; fi
        sleep 0.05
    done
    echo "no line '$2' in $1" >&2
    return 1
}

wait_true() { # wait_true SECONDS COMMAND...: repeats the command until it succeeds
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.1
    done
}

start_standin() { # start_standin NAME PROGRAM OPTION...: sets port_NAME
    local name="$1" program="$2"
    shift 2
    "$build/testing/standin_$program" "$@" >"$work/$name.out" 2>"$work/$name.err" &
    pids+=($!)
    local line
    line=$(wait_line "$work/$name.out" '^listening')
    printf -v "port_$name" '%s' "$(echo "$line" | cut -d' ' -f2)"
}

start_host() { # start_host NAME FAILURE-DOMAIN SEEDS: sets callers_NAME, admin_NAME, member_NAME, pid_NAME
    local name="$1" seeds=""
    [ -z "$3" ] || seeds="seeds = [$3]"
    cat >"$work/$name.toml" <<TOML
[host]
id = "$name"
failure-domain = "$2"
threads = 2
[listen]
address = "127.0.0.1"
port = 0
[admin]
address = "127.0.0.1"
port = 0
[peers]
address = "127.0.0.1"
port = 0
secret-file = "$work/secret"
$seeds
[membership]
address = "127.0.0.1"
port = 0
[platform]
key-value = "127.0.0.1:$port_keyvalue"
host-list = "127.0.0.1:$port_hostlist"
weight-store = "127.0.0.1:$port_weightstore"
[shutdown]
unready-ms = 500
TOML
    "$build/apps/cicadalb" --settings "$work/$name.toml" >"$work/$name.out" 2>"$work/$name.log" &
    printf -v "pid_$name" '%s' "$!"
    pids+=($!)
    local line
    line=$(wait_line "$work/$name.out" '^callers')
    printf -v "callers_$name" '%s' "$(echo "$line" | cut -d' ' -f2)"
    printf -v "admin_$name" '%s' "$(echo "$line" | cut -d' ' -f4)"
    printf -v "member_$name" '%s' "$(echo "$line" | cut -d' ' -f8)"
}

token_hash() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

# Hosts refuse a shared secret of fewer than 16 bytes.
printf 'demo-secret-of-at-least-thirty-two-bytes\n' >"$work/secret"

start_platform() { # starts the stand-ins of the platform's services; sets port_keyvalue, port_hostlist, port_weightstore
    start_standin keyvalue keyvalue
    start_standin hostlist hostlist
    start_standin weightstore weightstore
}

write_tables() { # writes routes.toml and pools.toml for the targets ledger1, ledger2, engine1, engine2, engine3
cat >"$work/routes.toml" <<TOML
[callers.clerks]
token-sha256 = "$(token_hash clerk-token)"
[callers.reconciliation]
token-sha256 = "$(token_hash reconciliation-token)"
[trainers.invoice-draft]
token-sha256 = "$(token_hash trainer-token)"
staleness-bound = 2
[routes.post-invoice]
path = "/ledger/invoices"
pool = "ledger-app"
callers = ["clerks"]
repeatable = false
priority = "interactive"
timeout-ms = 3000
[routes.lookup]
path = "/ledger/lookups"
pool = "ledger-app"
callers = ["reconciliation"]
repeatable = true
[routes.drafts]
path = "/v1/drafts"
pool = "draft-model"
callers = ["clerks"]
trainers = ["invoice-draft"]
repeatable = true
TOML
cat >"$work/pools.toml" <<TOML
[pools.ledger-app]
kind = "plain-service"
[[pools.ledger-app.targets]]
id = "ledger-1"
address = "127.0.0.1"
port = $port_ledger1
failure-domain = "salt-lake"
[[pools.ledger-app.targets]]
id = "ledger-2"
address = "127.0.0.1"
port = $port_ledger2
failure-domain = "new-town"
[pools.draft-model]
kind = "model-engine"
model = "draft"
fence-check = "checked"
[[pools.draft-model.targets]]
id = "draft-1"
address = "127.0.0.1"
port = $port_engine1
failure-domain = "salt-lake"
[[pools.draft-model.targets]]
id = "draft-2"
address = "127.0.0.1"
port = $port_engine2
failure-domain = "new-town"
[[pools.draft-model.targets]]
id = "draft-3"
address = "127.0.0.1"
port = $port_engine3
failure-domain = "howrah"
TOML
}

control() { "$build/apps/cicadactl" "$@"; }
