#!/usr/bin/env bash
# Fault injection test: runs routers and stand-ins for the other services as processes on loopback
# addresses, injects faults under load and checks the outcomes. It writes its results to out/fleet.
# Usage: scripts/fleet.sh [ROUTERS] [SECONDS] [SEED] [RATE] [--race] [--part]
#   ROUTERS  number of routers, 6 to 8 (default 6)
#   SECONDS  duration of the load, at least 40, or 90 with --part (default 60)
#   SEED     seed of the load and of the lost replies (default 1)
#   RATE     requests per second (default 150)
#   --race   two operators concurrently push different changes of the same base revision; in a
#            second race, all replies of the object API are lost
#   --part   before the other faults, relays cut routers r1 to r3 off from the other routers for a
#            quarter of the duration, and a router is killed meanwhile; with --race, the operators
#            also push during and after this network partition
# Exit codes: 0 all outcomes hold, 1 one does not hold, 2 wrong usage.
set -euo pipefail
cd "$(dirname "$0")/.."

usage() {
  echo "usage: scripts/fleet.sh [ROUTERS from 6 to 8] [SECONDS from 40, from 90 with --part] [SEED] [RATE] [--race] [--part]" >&2
  exit 2
}
race='' part='' numbers=()
for argument in "$@"; do
  case "$argument" in
    --race) race=yes ;;
    --part) part=yes ;;
    --*) usage ;;
    *) numbers+=("$argument") ;;
  esac
done
routers="${numbers[0]:-6}"
seconds="${numbers[1]:-60}"
seed="${numbers[2]:-1}"
rate="${numbers[3]:-150}"
if [ "$routers" -lt 6 ] || [ "$routers" -gt 8 ] || [ "$seconds" -lt 40 ]; then usage; fi
if [ -n "$part" ] && [ "$seconds" -lt 90 ]; then usage; fi

out=out/fleet
rm -rf "$out"
mkdir -p "$out/config" "$out/logs" "$out/bin" "$out/pushes"
export GOFLAGS="${GOFLAGS:--buildvcs=false}"
go build -o "$out/bin/" ./hornbeamd ./hornbeamctl ./hornbeambench
router_binary="$out/bin/hornbeamd" ctl="$out/bin/hornbeamctl" bench="$out/bin/hornbeambench"

# Each kind of process has its own loopback network, so that an address in a log line identifies
# the process.
platform=127.0.30.1:7001
router() { echo "127.0.31.$1"; }
relay() { echo "127.0.34.$1:8081"; }
relays=127.0.34.100:7002
# peer NUMBER prints the address at which the other routers reach a router.
peer() { if [ -n "$part" ]; then relay "$1"; else echo "$(router "$1"):8081"; fi; }
engine() { echo "127.0.32.$1:8000"; }
service() { echo "127.0.33.$1:8080"; }
zones=(Kariakoo Mikocheni Ubungo)
zone() { echo "${zones[$((($1 - 1) % 3))]}"; }

declare -A pids
# start NAME COMMAND... starts a process in the background. Its output is appended to logs/NAME.log.
start() {
  local name="$1"
  shift
  "$@" >>"$out/logs/$name.log" 2>&1 &
  pids[$name]=$!
}
# Kills only child processes of this script, by process ID. A process that is stopped by SIGSTOP is
# continued first.
cleanup() {
  local name
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null || true
    kill -KILL "${pids[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}
trap cleanup EXIT
# log MESSAGE... prints a message with the time since the start in seconds.
log() { printf '%6.1f s  %s\n' "$(($(date +%s%N) / 1000000 - started_at_ms))e-3" "$*"; }
started_at_ms=$(($(date +%s%N) / 1000000))

# instances NUMBER... prints the instance list of the platform with the given routers as live.
instances() {
  local i separator=""
  printf '['
  for i in "$@"; do
    printf '%s{"id":"r%s","address":"%s","zone":"%s","role":"router","state":"live"}' "$separator" "$i" "$(peer "$i")" "$(zone "$i")"
    separator=,
  done
  printf ']\n'
}
# start_router NUMBER starts or restarts a router.
start_router() {
  start "r$1" "$router_binary" --id="r$1" --zone="$(zone "$1")" \
    --caller-listen="$(router "$1"):8080" --peer-listen="$(router "$1"):8081" --peer-address="$(peer "$1")" --operator-listen="$(router "$1"):8082" \
    --caller-lifetime=2s --platform-objects="http://$platform" --platform-instances="http://$platform"
}

# Copies the sample configuration and replaces the addresses of the backend servers.
cp hornbeambench/demo/config/*.yaml "$out/config/"
{
  echo "backends:"
  for i in 1 2 3 4 5 6 7 8 9; do echo "  worker-$i: {address: \"$(engine "$i")\"}"; done
  for i in 1 2 3; do echo "  records-$i: {address: \"$(service "$i")\"}"; done
} >"$out/config/90-addresses.yaml"

all=$(seq 1 "$routers")
instances $all >"$out/instances.json"
start platform "$bench" standin platform --listen="$platform" --instances="$out/instances.json"
engines=""
for i in 1 2 3 4 5 6 7 8 9; do
  start "worker-$i" "$bench" standin engine --name="worker-$i" --listen="$(engine "$i")" --models=letter-writer $([ "$i" -le 5 ] && echo --fence)
  engines="$engines,worker-$i=$(engine "$i")"
done
services=""
for i in 1 2 3; do
  start "records-$i" "$bench" standin service --listen="$(service "$i")"
  services="$services,$(service "$i")"
done
"$bench" fleet wait "http://$platform/v1/instances" "http://$(engine 9)/v1/load" "http://$(service 3)/ledger"
"$ctl" config push "$out/config" --base=0 -m "fleet experiment" --objects="http://$platform"
if [ -n "$part" ]; then
  between=()
  for i in $all; do between+=("--relays=r$i=$(relay "$i")=$(router "$i"):8081"); done
  start relays "$bench" fleet relay --listen="$relays" "${between[@]}"
  "$bench" fleet wait "http://$relays/"
fi

# race_pushes NAME makes two operators concurrently push different changes of the revision $base and
# then sets base to the head revision. NAME must not contain a dash.
base=1
race_pushes() {
  local operator pushes=()
  for operator in a b; do
    cp -r "$out/config" "$out/config-$1-$operator"
    printf '# change %s of operator %s\n' "$1" "$operator" >>"$out/config-$1-$operator/90-addresses.yaml"
  done
  for operator in a b; do
    {
      code=0
      "$ctl" config push "$out/config-$1-$operator" --base="$base" -m "race $1, operator $operator" --objects="http://$platform" \
        >"$out/pushes/$1-$operator.text" 2>&1 || code=$?
      echo "$code" >"$out/pushes/$1-$operator.code"
    } &
    pushes+=($!)
  done
  wait "${pushes[@]}"
  base="$("$ctl" config history --limit=1 --objects="http://$platform" --output=json | grep -o '"number": *[0-9]*' | head -1 | grep -o '[0-9]*$')"
  log "race $1 of two operators: codes $(cat "$out/pushes/$1-a.code") and $(cat "$out/pushes/$1-b.code"); the head is revision $base"
}
# lose_replies RATIO makes the object API lose this ratio of its replies, from 0 to 1.
lose_replies() { "$bench" fleet fault "$platform" "{\"target\":\"objects\",\"lost\":$1,\"seed\":$seed}"; }

addresses="" ready="" metrics=""
for i in $all; do
  start_router "$i"
  addresses="$addresses,$(router "$i"):8080"
  ready="$ready http://$(router "$i"):8080/readyz"
  metrics="$metrics,r$i=$(router "$i"):8080"
done
"$bench" fleet wait $ready
log "$routers routers are ready"

start watch "$bench" fleet watch --engines="${engines#,}" --out="$out/samples.jsonl"
start revisions "$bench" fleet revisions --routers="${metrics#,}" --out="$out/revisions.jsonl"
start load "$bench" load --routers="${addresses#,}" --caller=coordinators=demo-coordinators --caller=trainees=demo-trainees \
  --model=letter-writer --service=placements --calls=0.3 --rate="$rate" --duration="${seconds}s" --seed="$seed" --attempts=8 \
  --records="$out/records.jsonl" --out="$out/load.json"
step=$((seconds / 8))
if [ -n "$part" ]; then step=$((seconds / 16)); fi

if [ -n "$race" ]; then
  sleep 2
  race_pushes plain
  lose_replies 1
  race_pushes lost
  lose_replies 0
fi
if [ -n "$part" ]; then
  sleep "$step"
  log "partition: cut routers r1, r2 and r3 off from the others"
  "$bench" fleet fault "$relays" '{"apart":["r1","r2","r3"]}'
  sleep "$((seconds / 8))"
  if [ -n "$race" ]; then race_pushes parted; fi
  log "kill router r5"
  kill -KILL "${pids[r5]}"
  wait "${pids[r5]}" 2>/dev/null || true
  sleep 2
  start_router 5
  sleep "$((seconds / 8))"
  log "partition ends"
  "$bench" fleet fault "$relays" '{}'
  if [ -n "$race" ]; then race_pushes joined; fi
fi
sleep "$step"
log "kill router r2"
kill -KILL "${pids[r2]}"
wait "${pids[r2]}" 2>/dev/null || true
sleep "$step"
log "pause router r3 for 15 s"
kill -STOP "${pids[r3]}"
sleep 15
kill -CONT "${pids[r3]}"
log "resume router r3; restart router r2"
start_router 2
log "worker-6 stops sending on a connection after 3 tokens, 5 times"
"$bench" fleet fault "$(engine 6)" '{"kind":"silent","after":3,"times":5}'
sleep "$step"
log "stop router r4 gracefully"
kill -TERM "${pids[r4]}"
shutdown_code=0
wait "${pids[r4]}" || shutdown_code=$?
unset 'pids[r4]'
log "router r4 ended with code $shutdown_code"
load_code=0
wait "${pids[load]}" || load_code=$?
unset 'pids[load]'
log "load ended with code $load_code"
for name in watch revisions; do
  kill -INT "${pids[$name]}"
  wait "${pids[$name]}" || true
  unset "pids[$name]"
done

"$ctl" timeline --address="$(router 1):8082" --html="$out/timeline.html" || echo "time line: code $?"
exit_code=0
"$bench" fleet judge --records="$out/records.jsonl" --services="${services#,}" --samples="$out/samples.jsonl" --out="$out/verdicts.json" \
  --revisions="$out/revisions.jsonl" ${race:+--pushes="$out/pushes"} ${part:+--apart=r1,r2,r3} || exit_code=$?
if [ "$shutdown_code" -ne 0 ]; then
  echo "short: a graceful shutdown ends with code 0: $shutdown_code"
  exit_code=1
else
  echo "holds: a graceful shutdown ends with code 0"
fi
exit "$exit_code"
