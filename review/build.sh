#!/usr/bin/env bash
# Builds the stand-ins of the review's cases, with the project's own ones that they use. It needs the build of
# deploy/service.toml in target/ and no packages beside that build's.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target -j8 --target tw_simulator tw_net tw_loopback >/dev/null
mkdir -p target/review
flags=(-O2 -std=gnu11 -D_GNU_SOURCE -Wall -Wextra -Isrc -Isimulator -Itests/soak -Itests/loopback -Ireview/standin)
gcc "${flags[@]}" -o target/review/review_case review/standin/*.c \
  tests/soak/{calls,faults,links,plan,stand_ins,workers}.c \
  target/simulator/libtw_simulator.a target/tests/loopback/libtw_loopback.a target/libtw_net.a target/libtw_core.a \
  -lgsl -lgslcblas -lcjson -lyaml -lev -lhttp_parser -lstdc++ -lm

# The version in production, for the case of an upgrade. A copy without the history can't build it; that case then
# can't run.
commit=$(sed -n 's/^production = "\([0-9a-f]*\)"$/\1/p' deploy/service.toml)
old=target/review/production
if git cat-file -e "$commit^{commit}" 2>/dev/null; then
  mkdir -p "$old/tree"
  git archive "$commit" -- . ':!journal' | tar -x -C "$old/tree"
  cmake -S "$old/tree" -B "$old/build" -DCMAKE_BUILD_TYPE=Release >/dev/null
  cmake --build "$old/build" -j8 --target traywall >/dev/null
else
  echo "review: the version in production is not in the history at hand; case 2 can't run" >&2
fi
