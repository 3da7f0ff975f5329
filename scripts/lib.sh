# Shared by the scripts: building, declaring an example, starting and stopping it.
# A script sets RUN to a directory for files of the run before it sources this.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
PROFILE=${PROFILE:-release}
BIN=${CARGO_TARGET_DIR:-$ROOT/target}/$PROFILE
HOSTS=${HOSTS:-4}
DATA_CENTRES=(seeb rusayl barka)
PIDS=()

build() {
    local flag=--release
    [ "$PROFILE" = debug ] && flag=
    (cd "$ROOT" && cargo build --quiet --workspace --bins $flag)
}

# Starts a program in the background and remembers its process id.
start() {
    local name=$1
    shift
    "$@" >"$RUN/$name.out" 2>"$RUN/$name.log" &
    PIDS+=($!)
}

stop_all() {
    local pid
    for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
    PIDS=()
}

# declare_service NAME GROUP SLOTS CONNECTIONS CLASSES FIRST_PORT REPLICAS SHARDS COPIES
declare_service() {
    local name=$1 group=$2 slots=$3 connections=$4 classes=$5 port=$6 replicas=$7 shards=$8 copies=$9
    local file=$RUN/declarations/$name/egret.toml i j
    mkdir -p "$(dirname "$file")"
    {
        printf 'service = "%s"\ngroup = "%s"\nslots = %s\nconnections = %s\n' "$name" "$group" "$slots" "$connections"
        printf '%s\n' "$classes"
        for ((i = 0; i < replicas; i++)); do
            printf '\n[[replica]]\nname = "r%d"\naddress = "127.0.0.1:%d"\nhost = "t-%s-%d"\ndata_centre = "%s"\n' \
                "$i" $((port + i)) "$name" "$i" "${DATA_CENTRES[$((i % 3))]}"
        done
        printf '\n[[placement]]\nid = 1\nshards = [\n'
        for ((i = 0; i < shards; i++)); do
            printf '  { name = "s%02d", replicas = [' "$i"
            for ((j = 0; j < copies; j++)); do printf '"r%d", ' $(((i + j) % replicas)); done
            printf '] },\n'
        done
        printf ']\n\n[[snapshot]]\nid = 1\nplacement = 1\n'
    } >"$file"
}

class() {
    printf '\n[[class]]\nname = "%s"\nrank = %s\ntime_budget_ms = %s\nmin_coverage = %s\nbelow_minimum = "%s"\n' "$@"
}

# Sahil's shape of today, scaled down: 20 services of field-desk and vault-read.
declare_sahil() {
    local classes i
    classes=$(class field-lookup 1 1000 0.9 partial; class permit-file 2 3000 1.0 refuse; class archive-pull 3 5000 0.9 partial)
    for ((i = 0; i < 20; i++)); do
        declare_service "$(printf 'field-desk-%02d' "$i")" field-desk 2 60 "$classes" $((7100 + 2 * i)) 2 2 2
    done
    declare_service vault-read vault-read 4 240 "$classes" 7140 10 20 2
}

write_hosts() {
    local i state
    {
        printf '{"revision": %s, "hosts": [' "${1:-1}"
        for ((i = 0; i < HOSTS; i++)); do
            [ "$i" -gt 0 ] && printf ','
            printf '{"name":"host-%d","data_centre":"%s","state":"live","agent":"127.0.0.1:%d","relay":"127.0.0.1:%d","entry":"127.0.0.1:%d"}' \
                "$i" "${DATA_CENTRES[$((i % 3))]}" $((7400 + i)) $((7300 + i)) $((7200 + i))
        done
        printf ']}'
    } >"$RUN/platform/hosts"
}

publish() {
    "$BIN/egret-publish" collect "$RUN/declarations" --out "$RUN/platform" --version "$1"
}

start_hosts() {
    local i
    for ((i = 0; i < HOSTS; i++)); do
        start "agent-$i" "$BIN/egret-agent" --host "host-$i" --data-centre "${DATA_CENTRES[$((i % 3))]}" \
            --listen "127.0.0.1:$((7400 + i))" --platform 127.0.0.1:7000 --peers "127.0.0.1:7400,127.0.0.1:7401"
        start "relay-$i" "$BIN/egret-relay" --host "host-$i" --listen "127.0.0.1:$((7300 + i))" \
            --agent "127.0.0.1:$((7400 + i))"
        start "entry-$i" "$BIN/egret-entry" --host "host-$i" --listen "127.0.0.1:$((8080 + i))" \
            --internal "127.0.0.1:$((7200 + i))" --agent "127.0.0.1:$((7400 + i))"
    done
}

# Waits until every daemon reports ready.
wait_ready() {
    local i port tries
    for ((i = 0; i < HOSTS; i++)); do
        for port in $((7400 + i)) $((7300 + i)) $((8080 + i)); do
            tries=0
            until curl -sf -o /dev/null "http://127.0.0.1:$port/ready"; do
                tries=$((tries + 1))
                if [ "$tries" -gt 200 ]; then
                    echo "nothing is ready on port $port: see the logs in $RUN" >&2
                    return 1
                fi
                sleep 0.1
            done
        done
    done
    # Relays learn their targets' health with their first probes.
    sleep 1
}

timeline_addresses() {
    local i list=
    for ((i = 0; i < HOSTS; i++)); do list+="127.0.0.1:$((7200 + i)),127.0.0.1:$((7300 + i)),127.0.0.1:$((7400 + i)),"; done
    printf '%s' "${list%,}"
}
