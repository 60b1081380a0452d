#!/usr/bin/env bash
# Builds azurelug, starts a small system of separate processes on loopback, sends checked requests,
# drains a zone and brings it back while calls go on, and stops what it started.
# Exits with 0 only if every answer was checked and correct.
set -euo pipefail
cd "$(dirname "$0")/.."

profile=${AZURELUG_PROFILE:-debug}
if [ "$profile" = release ]; then cargo build --locked --quiet --release --workspace --bins
else cargo build --locked --quiet --workspace --bins; fi
target=${CARGO_TARGET_DIR:-target}
bin="$(cd "$target/$profile" && pwd)"
dir=$(mktemp -d)
pids=()

stop() {
  local status=$?
  if [ "$status" -ne 0 ]; then
    echo "quickstart: failed; the last log lines of each daemon:"
    tail -n 5 "$dir"/*.log 2>/dev/null || true
  fi
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "$status" -eq 0 ]; then rm -rf "$dir"; else echo "quickstart: all logs are in $dir"; fi
  exit "$status"
}
trap stop EXIT

start() { # name, command...
  local name=$1; shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
  pids+=($!)
}

wait_for() { # what, command...
  local what=$1; shift
  for _ in $(seq 1 150); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "quickstart: $what did not become ready within 15 s" >&2
  return 1
}

http_ok() { # host:port path
  exec 3<>"/dev/tcp/${1%:*}/${1#*:}" || return 1
  printf 'GET %s HTTP/1.1\r\nHost: quickstart\r\nConnection: close\r\n\r\n' "$2" >&3
  head -n 1 <&3 | grep -q ' 200 '
}

echo "== Settings"
mapfile -t ports < <("$bin/azurelug-testkit" ports 30)
port() { echo "127.0.0.1:${ports[$1]}"; }
head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$dir/key"
zones=(zone-a zone-b zone-c)
controls=(0 1 2)
members="members:"
for i in "${controls[@]}"; do
  members+=$'\n'"  - { slot: $((i + 1)), name: control-${zones[$i]#zone-}, address: \"$(port "$i")\" }"
done
for i in 0 1 2; do
  name=control-${zones[$i]#zone-}
  cat >"$dir/$name.yaml" <<Y
name: $name
zone: ${zones[$i]}
cluster: quickstart
key_file: $dir/key
internal: "$(port "$i")"
operators: "$(port $((3 + i)))"
data: $dir/$name
$members
Y
  name=entry-${zones[$i]#zone-}
  cat >"$dir/$name.yaml" <<Y
name: $name
zone: ${zones[$i]}
cluster: quickstart
key_file: $dir/key
callers: "$(port $((6 + i)))"
admin: "$(port $((9 + i)))"
control:
$(for step in 0 1 2; do j=$(((i + step) % 3)); echo "  - { zone: ${zones[$j]}, address: \"$(port "$j")\" }"; done)
drain_wait: 1s
finish_wait: 12s
Y
  "$bin/azurelug-entry" --settings "$dir/entry-${zones[$i]#zone-}.yaml" --check
done

echo "== Processes: 3 control daemons, 3 entry daemons, 12 engines, 3 service replicas"
for i in 0 1 2; do
  name=entry-${zones[$i]#zone-}
  start "$name" "$bin/azurelug-entry" --settings "$dir/$name.yaml"
done
for i in "${controls[@]}"; do
  name=control-${zones[$i]#zone-}
  "$bin/azurelug-control" --settings "$dir/$name.yaml" --check
  start "$name" "$bin/azurelug-control" --settings "$dir/$name.yaml" --initialize
done
kinds=(encode retrieve rerank generate)
models=(embed@1 search@1 rank@1 writer+formal@2)
for i in 0 1 2; do
  for k in 0 1 2 3; do
    start "engine-${kinds[$k]}-${zones[$i]#zone-}" "$bin/azurelug-testkit" engine \
      --listen "$(port $((12 + 4 * i + k)))" --model "${models[$k]}" --role "${kinds[$k]}" --limit 8
  done
  start "stock-${zones[$i]#zone-}" "$bin/azurelug-testkit" service --listen "$(port $((24 + i)))"
done

control=(--control "$(port 3)" --control "$(port 4)" --control "$(port 5)")
azurelug() { "$bin/azurelug" "${control[@]}" "$@"; }
for i in "${controls[@]}"; do wait_for "control ${zones[$i]}" http_ok "$(port $((3 + i)))" /healthz; done

echo "== First patch"
digest() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }
{
  for zone in "${zones[@]}"; do
    echo "- set_zone: { name: $zone, zone: { state: active } }"
    echo "- set_entry: { name: entry-${zone#zone-}, entry: { zone: $zone } }"
  done
  echo "- set_account: { name: carts, account: { key_digest: \"$(digest carts-key)\" } }"
  echo '- set_model: { name: embed, model: { versions: ["1"] } }'
  echo '- set_model: { name: search, model: { versions: ["1"] } }'
  echo '- set_model: { name: rank, model: { versions: ["1"] } }'
  echo '- set_model: { name: writer, model: { versions: ["2"], adapters: ["formal"] } }'
  echo '- set_service: { name: stock, service: { operations: { book: { idempotent: false }, look-up: { idempotent: true } } } }'
  for i in 0 1 2; do
    zone=${zones[$i]}
    for k in 0 1 2 3; do
      model=${models[$k]}
      name=${model%@*}
      adapter=""
      case $name in *+*) adapter=", adapter: ${name#*+}"; name=${name%+*} ;; esac
      echo "- set_target: { name: ${kinds[$k]}-${zone#zone-}, target: { zone: $zone, address: \"$(port $((12 + 4 * i + k)))\", role: { engine: ${kinds[$k]} }, loaded: [ { model: $name$adapter, version: \"${model#*@}\" } ], limit: 8, cold_limit: 2 } }"
    done
    echo "- set_target: { name: stock-${zone#zone-}, target: { zone: $zone, address: \"$(port $((24 + i)))\", role: { service: stock }, limit: 8, cold_limit: 4 } }"
  done
  echo '- set_pipeline: { name: season-summary, pipeline: { stages: [ { kind: encode, model: { model: embed, version: "1" } }, { kind: retrieve, model: { model: search, version: "1" } }, { kind: rerank, model: { model: rank, version: "1" } }, { kind: generate, model: { model: writer, adapter: formal, version: "2" } } ] } }'
} >"$dir/first.yaml"
wait_for "the first patch" azurelug patch --author quickstart --patch-id first --base 0 "$dir/first.yaml"
echo "resent: $(azurelug patch --author quickstart --patch-id first --base 0 "$dir/first.yaml")"
for i in 0 1 2; do wait_for "entry ${zones[$i]}" http_ok "$(port $((9 + i)))" /readyz; done
azurelug status

# New targets start at their cold limit; the limit rises by steps.
is_warm() { ! azurelug dump "$(port 3)" | grep -q '"limit_in_force": [2-4],'; }
wait_for "the targets' slow start" is_warm

callers() { # requests, pause, allowed refusals
  "$bin/azurelug-testkit" caller --entry "$(port 6)" --entry "$(port 7)" --entry "$(port 8)" \
    --key carts-key --pipeline season-summary --stage encode=embed@1 --stage retrieve=search@1 \
    --stage rerank=rank@1 --stage generate=writer+formal@2 --requests "$1" --pause-ms "$2" \
    --allow-refused "$3"
}

echo "== Calls, every answer checked"
callers 60 20 0

echo "== Calls while zone-a is drained and brought back"
callers 150 40 0 >"$dir/calls.txt" 2>&1 &
calls=$!
sleep 1
azurelug zone --author quickstart drain zone-a
sleep 2
azurelug zone --author quickstart restore zone-a
wait "$calls" || { cat "$dir/calls.txt"; exit 1; }
cat "$dir/calls.txt"

echo "== Bookings: each key sent twice, each booked once"
"$bin/azurelug-testkit" booker --entry "$(port 6)" --entry "$(port 7)" --entry "$(port 8)" \
  --key carts-key --service stock --operation book --requests 20 \
  --replica "$(port 24)" --replica "$(port 25)" --replica "$(port 26)"

echo "== History, and what the drain changed"
azurelug history
azurelug diff 1 2
echo "== Targets as an entry daemon sees them"
azurelug targets "$(port 9)"
echo "quickstart: all answers were checked"
