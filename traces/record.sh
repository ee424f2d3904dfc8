#!/usr/bin/env bash
# Records a trace: one node, ten engine test doubles, the callers of a profile.
# Usage: traces/record.sh ikeja|canelones OUTPUT SEED   (from the root, after a release build)
set -euo pipefail
deployment=$1 output=$2 seed=$3
program=${PROGRAM:-target/release/almondpath}
directory=$(mktemp -d)
base=$((20000 + RANDOM % 20000))
processes=()
cleanup() {
    kill "${processes[@]}" 2>/dev/null || true
    rm -rf "$directory"
}
trap cleanup EXIT

address() { echo "127.0.0.1:$((base + $1))"; }
double() {
    "$program" dev --only "$1" --listen "$2" 2>/dev/null &
    processes+=($!)
}

case $deployment in
    ikeja) service=language-model domain=lagos ;;
    canelones) service=text domain=canelones ;;
esac
double log "$(address 0)"
double platform "$(address 1)"
hosts=()
for number in $(seq 10); do
    double engine "$(address $((10 + number)))"
    letter=$(echo abc | cut -c $((number % 3 + 1)))
    hosts+=("{\"host\":\"engine-$number\",\"address\":\"$(address $((10 + number)))\",\"domain\":\"$domain-$letter\",\"service\":\"$service\",\"version\":\"v1\",\"price\":1.0}")
done
{
    echo "client_accounts:"
    sed -n 's/^  - {name: \([a-z-]*\), size.*/  \1: \1/p' "examples/$deployment/answers.yaml"
} >"$directory/tokens.yaml"
"$program" generate "examples/$deployment/answers.yaml" -o "$directory/config.yaml"
cat >"$directory/node.yaml" <<SETTINGS
name: recorder
failure_domain: $domain-a
listen: $(address 2)
admin: $(address 3)
peer: $(address 4)
log_service: $(address 0)
platform: $(address 1)
token_file: $directory/tokens.yaml
trace_file: $directory/trace.jsonl
SETTINGS
sleep 1
"$program" publish "$directory/config.yaml" --log-service "$(address 0)" --operator recorder
"$program" serve "$directory/node.yaml" 2>"$directory/node.log" &
processes+=($!)
sleep 2
(IFS=,; curl -sS -X PUT -H 'content-type: application/json' -d "[${hosts[*]}]" "http://$(address 1)/hosts") >/dev/null
sleep 2
"$program" load "traces/profiles/$deployment.yaml" --node "$(address 2)" --seed "$seed"
cp "$directory/trace.jsonl" "$output"
