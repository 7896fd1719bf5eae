# Functions that the tests over loopback share: they start emulators and daemons and send requests to them. Sourced with
# the build directory as $1; $test is the name of the test, $lease the daemons' lease, $replicas their replicas.
set -uo pipefail
build=${1:-target/test}
out=$(mktemp -d)
failed=0
declare -A pids=()
stop_all() {
  for name in "${!pids[@]}"; do kill -9 "${pids[$name]}" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$out"
}
trap stop_all EXIT

# The test's own loopback address, as in tests/loopback/own_host.c: no other test listens on it, and the ports of
# outgoing connections belong to 127.0.0.1. Emulators of an earlier build accept no address; for them set
# TW_LOOPBACK_HOST=127.0.0.1.
host=${TW_LOOPBACK_HOST:-127.$((128 + ($$ >> 16 & 63))).$(($$ >> 8 & 255)).$(($$ & 255))}
port=8080
listens() { (exec 3<>"/dev/tcp/$host/$1") 2>/dev/null; }
stand_ins=$host:$port
[ "$host" != 127.0.0.1 ] || stand_ins=$port
"$build/emulator/tw_emulator" "$stand_ins" "$replicas" "${emu_seconds:-240}" & pids[emu]=$!
until listens $((port + replicas)); do
  kill -0 "${pids[emu]}" || { echo "FAIL $test: no stand-ins"; exit 1; }
  sleep 0.05
done
control() { echo "$host:$((port + 50 + $1))"; }
machine() { echo "$host:$((port + $1))"; }
start() {
  "$build/src/daemon/traywalld" --name "c$1" --state "$host:$port" --control "$(control "$1")" \
    --lease "$lease" --drain 2 --grace 1 2>>"$out/c$1.log" & pids[c$1]=$!
}
# ask NODE EXPECTED_EXIT EXPECTED_TEXT ARGUMENTS...
ask() {
  local node=$1 code=$2 text=$3; shift 3
  said=$("$build/tools/traywallctl/traywallctl" --server "$(control "$node")" --output json "$@" 2>&1); rc=$?
  if [ "$rc" != "$code" ] || [[ "$said" != *"$text"* ]]; then
    echo "FAIL $test: $*: exit $rc, expected $code with $text: $said"; failed=1
  fi
}
# until_says NODE TEXT ARGUMENTS...: repeats the request until the answer contains TEXT, at most 100 times
until_says() {
  local node=$1 text=$2; shift 2
  for _ in $(seq 100); do
    said=$("$build/tools/traywallctl/traywallctl" --server "$(control "$node")" --output json "$@" 2>&1)
    [[ "$said" == *"$text"* ]] && return
    sleep 0.1
  done
  echo "FAIL $test: $*: never $text, but $said"; failed=1
}
# http PORT METHOD PATH BODY EXPECTED_STATUS
http() {
  exec 3<>"/dev/tcp/$host/$1"
  printf '%s %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' "$2" "$3" "${#4}" "$4" >&3
  said=$(cat <&3); exec 3<&-
  [[ "$said" == "HTTP/1.1 $5 "* ]] || { echo "FAIL $test: $2 $3 $4: $said"; failed=1; }
}

finish() {
  [ "$failed" = 0 ] || tail -n 5 "$out"/*.log
  [ "$failed" = 0 ] && echo "ok $test"
  exit $failed
}
# ctl TIMEOUT_S ARGUMENTS...: sends a request to the daemon that leads; sets $said and $rc.
ctl() {
  local timeout=$1; shift
  said=$("$build/tools/traywallctl/traywallctl" --server "$(control 0),$(control 1),$(control 2)" --timeout "$timeout" \
    --output json "$@" 2>/dev/null); rc=$?
}
# Prints the state that a daemon reports about itself.
state_of() {
  local said
  said=$(timeout 2 "$build/tools/traywallctl/traywallctl" --server "$(control "$1")" --timeout 1 --output json standby 2>/dev/null)
  said=${said#*'"state":"'}; echo "${said%%'"'*}"
}
# until_state NODE STATE
until_state() {
  for _ in $(seq 200); do [ "$(state_of "$1")" = "$2" ] && return; sleep 0.1; done
  echo "FAIL $test: c$1 is $(state_of "$1"), never $2"; failed=1
}
# Prints the number of the active daemon, other than daemon $1; prints nothing if none is active within the bound.
decider() {
  for _ in $(seq 100); do
    for node in 0 1 2; do [ "$node" != "${1:-}" ] && [ "$(state_of $node)" = deciding ] && { echo $node; return; }; done
    sleep 0.1
  done
}
