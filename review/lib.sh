# Common parts of the cases: a small deployment on loopback addresses. Sourced by `N/run.sh`.
# Settings are those of deploy/settings.jsonc with the bounds of the site sk-gnr.
here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
root=$(cd "$here/../.." && pwd)
bin=$root/target/release/jujubepost
standin=$root/target/review/standin
TROUBLE=${TROUBLE:-1}
dir=$(mktemp -d)
record=$here/record.txt
pids=()

cleanup() {
  trap - EXIT
  for p in "${pids[@]}"; do kill -CONT "$p" 2>/dev/null; kill "$p" 2>/dev/null; done
  for _ in $(seq 60); do
    alive=0
    for p in "${pids[@]}"; do kill -0 "$p" 2>/dev/null && alive=1; done
    [ $alive = 0 ] && break
    sleep 0.1
  done
  for p in "${pids[@]}"; do kill -9 "$p" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$dir"
}
trap 'cleanup' EXIT
trap 'exit 2' INT TERM

cannot_run() { echo "cannot run: $*"; exit 2; }

[ -x "$bin" ] || cannot_run "no $bin; build it first"
[ -x "$standin" ] || cannot_run "no $standin; run review/build.sh first"
base=$("$standin" free-ports) || cannot_run "no free ports"
net=127.41
vip=$net.9.1:443
store=$net.0.1:$((base + 6))

# start NAME COMMAND...: starts a process; its output goes to NAME.out. Sets `last`.
start() {
  local name=$1; shift
  "$@" >>"$dir/$name.out" 2>&1 &
  last=$!
  pids+=("$last")
}

bounds='{ "config_ms": 3000, "grace_s": 6, "flow_s": 60 }'
policy='{ "hold": { "outlier": { "enabled": false } } }'

# entry_settings N ZONE
entry_settings() {
  cat >"$dir/entry-$1.jsonc" <<EOF
{ "name": "frontend-$2-$1", "zone": "$2", "region": "gjw", "ip": "$net.1.$1",
  "ports": [$((base + 10)), $((base + 14))], "packets": "$net.1.$1:$base", "ready": "$net.1.$1:$((base + 1))",
  "cpu_share": 0.25, "link_mbps": 1000.0, "store": "$store", "metrics": $((base + 5)),
  "seeds": ["$net.1.1:$((base + 3))", "$net.1.2:$((base + 3))"], "policy": $policy, "bounds": $bounds }
EOF
}

# sidecar_settings N ZONE SERVICE [IP] [STORE]
sidecar_settings() {
  local ip=${4:-$net.2.$1} store=${5:-$store}
  cat >"$dir/sidecar-$1.jsonc" <<EOF
{ "name": "side-$2-$1", "zone": "$2", "region": "gjw", "ip": "$ip",
  "ports": [$((base + 10)), $((base + 14))], "packets": "$ip:$base", "ready": "$ip:$((base + 1))",
  "outbound": "$ip:$((base + 2))", "target": "$ip:$((base + 4))", "reports": "$ip:$((base + 3))",
  "service": "$3", "cpu_share": 0.15, "link_mbps": 1000.0, "store": "$store", "metrics": $((base + 5)),
  "seeds": ["$net.1.1:$((base + 3))", "$net.1.2:$((base + 3))"], "policy": $policy, "bounds": $bounds }
EOF
}

entry_pid=()
sidecar_pid=()
start_entry() { start "entry-$1" "$bin" entry --config "$dir/entry-$1.jsonc"; entry_pid[$1]=$last; }
start_sidecar() { start "sidecar-$1" "$bin" sidecar --config "$dir/sidecar-$1.jsonc"; sidecar_pid[$1]=$last; }

# start_server ID IP ZONE SERVICE REPORTS [options]
start_server() {
  local id=$1 ip=$2 zone=$3 service=$4 reports=$5; shift 5
  start "server-$id" "$standin" server --id "$id" --service "$service" --zone "$zone" \
    --app "$ip:$((base + 4))" --outbound "$ip:$((base + 2))" --reports "$reports" \
    --drain-file "$dir/drain-$id" "$@"
}

# start_store [PORT]
start_store() {
  echo "{ \"store\": { \"addr\": \"$net.0.1:${1:-$((base + 6))}\" } }" >"$dir/store.jsonc"
  start store "$bin" store --config "$dir/store.jsonc"
}

# start_clients N [options]: clients at their own address.
start_clients() {
  local n=$1; shift
  start "clients-$n" "$standin" clients --bind "$net.3.$n:$base" --vip "$vip" --stop "$dir/stop" \
    --balancers "$net.1.1:$base/$net.1.1:$((base + 1)),$net.1.2:$base/$net.1.2:$((base + 1))" "$@"
}

# say TEXT: a line of the record.
say() { echo "$(date +%s%3N) script $*" | tee -a "$dir/script.out"; }

# crash_server ID PID: SIGKILL.
crash_server() {
  echo "$(date +%s%3N) server $1 down" >>"$dir/script.out"
  kill_now "$2"
}

# restart_entry N: a planned restart, as by roll_term: SIGTERM, then started again after 1 s.
restart_entry() {
  say "balancer $1 is stopped"
  kill "${entry_pid[$1]}"
  wait "${entry_pid[$1]}" 2>/dev/null
  sleep 1
  start_entry "$1"
  say "balancer $1 is started again"
}

# kill_now PID: SIGKILL, without the shell's message.
kill_now() { kill -9 "$1" 2>/dev/null; wait "$1" 2>/dev/null; }

# Gathers what was sent, answered and run, by time; the programs' own logs follow.
write_record() {
  {
    cat "$dir"/script.out "$dir"/server-*.out "$dir"/clients-*.out "$dir"/*path.out 2>/dev/null | sort -n -s -k1,1
    grep -H . "$dir"/sidecar-*.out "$dir"/entry-*.out | sed "s#^$dir/##" | grep -v '"event":"E71[0-9]"' | head -n 400
  } >"$record"
}
