#!/usr/bin/env bash
# Builds what the cases review/4 to review/8 start, after the build of the deploy file: the shard controller and its
# client, the project's own emulator, and the stand-ins of these cases. Needs the packages of deploy/traywalld.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target -j"$(nproc)" --target traywall traywalld traywallctl tw_emulator >/dev/null
mkdir -p target/review-2
libraries=()
for library in simulator/libtw_simulator.a src/shards/libtw_shards.a libtw_core.a libtw_net.a; do
  libraries+=("target/$library")
done
for case in 5 7; do
  cc -std=gnu11 -O2 -Wall -Wextra -Isrc -Isimulator -o "target/review-2/standin-$case" "review/$case/standin.c" \
    "${libraries[@]}" "${libraries[@]}" -lroaring -lcjson -lev -lhttp_parser -lyaml -lgsl -lgslcblas -lstdc++ -lm
done
cc -std=gnu11 -O2 -Wall -Wextra -o target/review-2/relay review/8/relay.c
echo "built"
