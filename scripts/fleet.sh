#!/usr/bin/env bash
# Runs routers and stand-ins as real processes on loopback addresses, disturbs them under load and judges the outcomes.
# Usage: scripts/fleet.sh [ROUTERS] [SECONDS] [SEED] [RATE] [--race] [--part]. ROUTERS is 6 to 8, RATE is in requests per second.
# The result is written to out/fleet.
#   --race  operators push two changes from one base revision at the same moment, once with all replies of the object API lost
#   --part  daemons r1 to r3 are parted from the others by relays for a quarter of the time, while a daemon is killed, before the
#           other failures; with --race the operators race then too, and SECONDS is at least 90
# Exit codes: 0 every outcome held, 1 one did not, 2 wrong usage.
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
d="$out/bin/hornbeamd" ctl="$out/bin/hornbeamctl" bench="$out/bin/hornbeambench"

# Each kind of process has a network of its own on loopback, so that a log line shows which one it is about.
platform=127.0.30.1:7001
router() { echo "127.0.31.$1"; }
relay() { echo "127.0.34.$1:8081"; }
relays=127.0.34.100:7002
# The address that other daemons use.
peer() { if [ -n "$part" ]; then relay "$1"; else echo "$(router "$1"):8081"; fi; }
engine() { echo "127.0.32.$1:8000"; }
service() { echo "127.0.33.$1:8080"; }
zones=(Kariakoo Mikocheni Ubungo)
zone() { echo "${zones[$((($1 - 1) % 3))]}"; }

declare -A pids
start() { # NAME COMMAND...
  local name="$1"
  shift
  "$@" >>"$out/logs/$name.log" 2>&1 &
  pids[$name]=$!
}
# Ends only children of this script, by their ids. A paused process cannot end before it is continued.
cleanup() {
  local name
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null || true
    kill -KILL "${pids[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}
trap cleanup EXIT
say() { printf '%6.1f s  %s\n' "$(($(date +%s%N) / 1000000 - begin))e-3" "$*"; }
begin=$(($(date +%s%N) / 1000000))

instances() { # the routers that the list shows as live
  local i separator=""
  printf '['
  for i in "$@"; do
    printf '%s{"id":"r%s","address":"%s","zone":"%s","role":"router","state":"live"}' "$separator" "$i" "$(peer "$i")" "$(zone "$i")"
    separator=,
  done
  printf ']\n'
}
start_router() {
  start "r$1" "$d" --id="r$1" --zone="$(zone "$1")" \
    --caller-listen="$(router "$1"):8080" --peer-listen="$(router "$1"):8081" --peer-address="$(peer "$1")" --operator-listen="$(router "$1"):8082" \
    --caller-lifetime=2s --platform-objects="http://$platform" --platform-instances="http://$platform"
}

# The sample configuration with the addresses of this run.
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

# race NAME lets two operators push different changes of one base revision at the same moment. NAME has no dash.
base=1
race() {
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
  say "race $1 of two operators: codes $(cat "$out/pushes/$1-a.code") and $(cat "$out/pushes/$1-b.code"); the head is revision $base"
}
lose_replies() { "$bench" fleet fault "$platform" "{\"target\":\"objects\",\"lost\":$1,\"seed\":$seed}"; }

addresses="" ready="" metrics=""
for i in $all; do
  start_router "$i"
  addresses="$addresses,$(router "$i"):8080"
  ready="$ready http://$(router "$i"):8080/readyz"
  metrics="$metrics,r$i=$(router "$i"):8080"
done
"$bench" fleet wait $ready
say "$routers routers are ready"

start watch "$bench" fleet watch --engines="${engines#,}" --out="$out/samples.jsonl"
start revisions "$bench" fleet revisions --routers="${metrics#,}" --out="$out/revisions.jsonl"
start load "$bench" load --routers="${addresses#,}" --caller=coordinators=demo-coordinators --caller=trainees=demo-trainees \
  --model=letter-writer --service=placements --calls=0.3 --rate="$rate" --duration="${seconds}s" --seed="$seed" --attempts=8 \
  --records="$out/records.jsonl" --out="$out/load.json"
step=$((seconds / 8))
if [ -n "$part" ]; then step=$((seconds / 16)); fi

if [ -n "$race" ]; then
  sleep 2
  race plain
  lose_replies 1
  race lost
  lose_replies 0
fi
if [ -n "$part" ]; then
  sleep "$step"
  say "part daemons r1, r2 and r3 from the others"
  "$bench" fleet fault "$relays" '{"apart":["r1","r2","r3"]}'
  sleep "$((seconds / 8))"
  if [ -n "$race" ]; then race parted; fi
  say "kill router r5"
  kill -KILL "${pids[r5]}"
  wait "${pids[r5]}" 2>/dev/null || true
  sleep 2
  start_router 5
  sleep "$((seconds / 8))"
  say "the daemons are joined"
  "$bench" fleet fault "$relays" '{}'
  if [ -n "$race" ]; then race joined; fi
fi
sleep "$step"
say "kill router r2"
kill -KILL "${pids[r2]}"
wait "${pids[r2]}" 2>/dev/null || true
sleep "$step"
say "pause router r3 for 15 s"
kill -STOP "${pids[r3]}"
sleep 15
kill -CONT "${pids[r3]}"
say "router r3 goes on; router r2 is replaced"
start_router 2
say "connections of worker-6 go silent after 3 tokens, 5 times"
"$bench" fleet fault "$(engine 6)" '{"kind":"silent","after":3,"times":5}'
sleep "$step"
say "stop router r4 gracefully"
kill -TERM "${pids[r4]}"
graceful=0
wait "${pids[r4]}" || graceful=$?
unset 'pids[r4]'
say "router r4 ended with code $graceful"
loaded=0
wait "${pids[load]}" || loaded=$?
unset 'pids[load]'
say "load ended with code $loaded"
for name in watch revisions; do
  kill -INT "${pids[$name]}"
  wait "${pids[$name]}" || true
  unset "pids[$name]"
done

"$ctl" timeline --address="$(router 1):8082" --html="$out/timeline.html" || echo "time line: code $?"
judged=0
"$bench" fleet judge --records="$out/records.jsonl" --services="${services#,}" --samples="$out/samples.jsonl" --out="$out/verdicts.json" \
  --revisions="$out/revisions.jsonl" ${race:+--pushes="$out/pushes"} ${part:+--apart=r1,r2,r3} || judged=$?
if [ "$graceful" -ne 0 ]; then
  echo "short: a graceful shutdown ends with code 0: $graceful"
  judged=1
else
  echo "holds: a graceful shutdown ends with code 0"
fi
exit "$judged"
