#!/usr/bin/env bash
# A write to the store that got no answer is executed seconds later. Meanwhile the machine that
# sent it is lost for good, and its address is used by a machine of another service.
# Exit: 1 if FLOW was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no late write.
set -u
. "$(dirname "${BASH_SOURCE[0]}")/../lib.sh"

start_store
"$standin" operator --store "$store" --config "{\"version\":3,\"routes\":[{\"name\":\"feed\",\"host\":\"$net.9.1\",\"prefix\":\"/443/\",\"service\":\"meter\",\"type\":\"safe\",\"timeout_ms\":3000,\"target_latency_ms\":200,\"priority\":2},{\"name\":\"upload\",\"host\":\"$net.9.2\",\"prefix\":\"/443/\",\"service\":\"fieldlog\",\"type\":\"upload\",\"timeout_ms\":8000,\"target_latency_ms\":500,\"priority\":2}],\"services\":[{\"name\":\"meter\",\"max_conns\":2000,\"health_check\":\"/health\"},{\"name\":\"fieldlog\",\"max_conns\":2000,\"health_check\":\"/health\"}],\"limits\":{\"idle_timeout_ms\":15000}}" \
  || cannot_run "the store does not answer"
for n in 1 2; do entry_settings $n gjw-a; start_entry $n; done
services=(- meter meter fieldlog fieldlog fieldlog)
for n in 1 2 3 4 5; do
  sidecar_settings $n gjw-a "${services[$n]}"
  start_sidecar $n
  start_server "i-${services[$n]}-$n" $net.2.$n gjw-a "${services[$n]}" "$net.2.$n:$((base + 3))"
done
"$standin" wait-ready --at "$net.1.1:$((base + 1)),$net.1.2:$((base + 1))" || cannot_run "balancers are not ready"
start_clients 1 --feeds 6 --pause-ms 1000 --rate 5
sleep 3

# A machine of fieldlog is added. One write of its agent gets no answer.
address=$net.2.9
[ "$TROUBLE" = 0 ] || touch "$dir/hold"
start store-path "$standin" store-path --listen "$net.0.2:$((base + 6))" --to "$store" \
  --key "jujubepost/agents/$address" --hold "$dir/hold" --deliver "$dir/deliver"
sidecar_settings 8 gjw-a fieldlog "$address" "$net.0.2:$((base + 6))"
start_sidecar 8
start_server i-old "$address" gjw-a fieldlog "$address:$((base + 3))"
old=$last
say "a machine of fieldlog is added at $address; a write is late: $TROUBLE"
sleep 1.9
say "it is lost for good"
crash_server i-old "$old"
kill_now "${sidecar_pid[8]}"
# addr_reuse_s is 2.
sleep 2.1
say "a machine of meter is added at the same address"
sidecar_settings 9 gjw-a meter "$address"
start_sidecar 9
start_server i-new "$address" gjw-a meter "$address:$((base + 3))"
sleep 0.5
start_clients 2 --feeds 24 --pause-ms 1000
sleep 1
say "the late write, if any, is executed"
touch "$dir/deliver"

# Over contact_ms (4,000) later the balancers are stopped and started in turn.
sleep 6
restart_entry 2
sleep 6
restart_entry 1
sleep 5
touch "$dir/stop"
sleep 1
write_record
"$standin" judge-resets --record "$record" | tee -a "$record"
exit "${PIPESTATUS[0]}"
