#!/usr/bin/env bash
# Measures the time from the confirmation of a plan until it is in force at
# every process, with the stand-ins and a number of controllers on loopback.
# Usage: docs/measure-confirm.sh CONTROLLERS, after make build.
set -eu
cd "$(dirname "$0")/.."
count=$1
dir=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill -TERM "$pid"; done
  wait
  rm -r "$dir"
}
trap finish EXIT

# port prints a free port; "dgram" or "stream".
port() {
  python3 -c 'import socket, sys
s = socket.socket(socket.AF_INET, socket.SOCK_DGRAM if sys.argv[1] == "dgram" else socket.SOCK_STREAM)
s.bind(("127.0.0.1", 0))
print(s.getsockname()[1])' "$1"
}
field() { python3 -c 'import json, sys; print(json.load(sys.stdin)[sys.argv[1]])' "$1"; }

bin/sycamorectl keys --dir "$dir/keys" --names "$(seq -s, -f 'n%g' 1 "$count")" > "$dir/keys.log"
bin/sycamorectl standin > "$dir/site.json" 2> "$dir/site.log" &
pids+=($!)
until [ -s "$dir/site.json" ]; do sleep 0.1; done

links=() operators=()
for _ in $(seq "$count"); do links+=("127.0.0.1:$(port dgram)"); operators+=("127.0.0.1:$(port stream)"); done
for i in $(seq "$count"); do
  bin/sycamored controller --instance "n$i" --region r --failure-domain "d$((i % 3))" \
    --operators-address "${operators[i - 1]}" --admin-address "127.0.0.1:$(port stream)" \
    --table-address "$(field table < "$dir/site.json")" --cloud-address "$(field cloud < "$dir/site.json")" \
    --link-address "${links[i - 1]}" --peers "$(IFS=,; echo "${links[*]:0:3}")" \
    --certificate-file "$dir/keys/controller-n$i.crt" --key-file "$dir/keys/controller-n$i.key" \
    --authority-file "$dir/keys/ca.crt" --agreed-micros-per-hour 27000000 2> "$dir/n$i.log" &
  pids+=($!)
done
sleep 8

export SYCAMORE_CONTROLLERS=${operators[count - 1]} SYCAMORE_OPERATOR=measure
for _ in 1 2 3 4 5; do
  for member in noranbus cooperative; do
    id=$(bin/sycamorectl plan -f "docs/examples/$member.json" --json | field id)
    before=$(date +%s%N)
    bin/sycamorectl confirm "$id" > "$dir/confirm.log"
    echo "$count controllers: in force everywhere after $((($(date +%s%N) - before) / 1000000)) ms"
  done
done
