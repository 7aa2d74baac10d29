#!/usr/bin/env bash
# A first try on one machine: stand-ins of the platform, two gateways and two
# controllers as separate processes, a confirmed intent, a streamed request, a
# call that runs at most once, and a graceful stop. Run it by "make demo".
set -eu
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT

# field FILE KEY: the value of KEY in the first line of FILE that has it.
field() { grep -o " $2=[^ ]*" "$1" | head -1 | cut -d= -f2; }
# await FILE TEXT: waits until FILE has a line with TEXT.
await() {
  for _ in $(seq 300); do grep -q "$2" "$1" 2>/dev/null && return 0; sleep 0.1; done
  echo "no $2 in $1:"; cat "$1"; exit 1
}

echo "== stand-ins of the platform and the upstreams"
bin/sycamorectl standin -member noranbus -engines 3 -services 1 >"$work/site.json" 2>"$work/site.log" &
pids+=($!)
await "$work/site.json" '"table"'
address() { tr -d ' \n' <"$work/site.json" | grep -o "\"$1\":\"[^\"]*\"" | head -1 | cut -d'"' -f4; }
table=$(address table)
cloud=$(address cloud)
echo "table service $table, cloud $cloud"

bin/sycamorectl keys -dir "$work/keys" -names entry-1,entry-2 >/dev/null
peers=""
# start ROLE INSTANCE FAILURE_DOMAIN FLAGS...: starts a daemon and waits for it.
start() {
  local role=$1 instance=$2 domain=$3 log="$work/$1-$2.log"
  shift 3
  bin/sycamored "$role" -instance "$instance" -region kr-seoul -failure-domain "$domain" \
    -certificate-file "$work/keys/$role-$instance.crt" -key-file "$work/keys/$role-$instance.key" \
    -authority-file "$work/keys/ca.crt" -table-address "$table" -link-address 127.0.0.1:0 \
    -peers "$peers" "$@" 2>"$log" &
  pids+=($!)
  await "$log" "event=${role}_started"
  peers="${peers:+$peers,}$(field "$log" link)"
  echo "$role on $instance in $domain"
}

echo "== controllers and gateways"
start controller entry-1 seoul-a -cloud-address "$cloud" -agreed-micros-per-hour 100000000
start controller entry-2 seoul-b -cloud-address "$cloud" -agreed-micros-per-hour 100000000
start gateway entry-1 seoul-a -leave-delay 1s -address-keep 1s
start gateway entry-2 seoul-b -leave-delay 1s -address-keep 1s
controllers="$(field "$work/controller-entry-1.log" operators),$(field "$work/controller-entry-2.log" operators)"
gateways=$(field "$work/gateway-entry-1.log" listen)

echo "== an intent, its plan, and the confirmation"
# A controller that has just started knows no prices yet.
for _ in $(seq 100); do
  bin/sycamorectl plan -controllers "$controllers" -f docs/examples/noranbus.json >"$work/plan.txt" 2>"$work/plan.err" && break
  sleep 0.1
done
cat "$work/plan.txt"
plan=$(grep -o 'plan [^ ]*' "$work/plan.txt" | head -1 | cut -d' ' -f2)
bin/sycamorectl confirm -controllers "$controllers" "$plan"
await "$work/gateway-entry-1.log" event=configuration_in_force

export SYCAMORE_CREDENTIAL=example-credential-of-academy-haneul
echo "== addresses"
bin/sycamorectl addresses -gateways "$gateways"
echo "== a streamed request"
bin/sycamorectl request -gateways "$gateways" -idempotent -model route-llm -prompt "rebuild the routes of the north district" -max-tokens 24
echo "== a boarding confirmation, sent twice and run once"
for _ in 1 2; do
  bin/sycamorectl call -gateways "$gateways" -service rider-app -method POST -path /boardings/7 -key boarding-7 -body on
done
echo "== status"
bin/sycamorectl status -controllers "$controllers"

echo "== graceful stop of all"
for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
  kill -TERM "${pids[$i]}"
  wait "${pids[$i]}"
done
pids=()
echo "all ended with status 0"
