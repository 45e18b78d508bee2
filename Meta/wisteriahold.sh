#!/usr/bin/env bash
# The one entry point for people and CI: installs the packages, builds, runs the main job, tests, measures.
set -euo pipefail

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${WISTERIA_BUILD:-$root/Build}
jobs=${WISTERIA_JOBS:-$(nproc)}
# Clones in other folders share the compiler's cache: paths below the root are hashed as relative ones.
export CCACHE_BASEDIR=$root CCACHE_NOHASHDIR=true

packages=(g++ cmake ninja-build ccache pkg-config clang-format clang-tidy clang
    libabsl-dev libgrpc++-dev libprotobuf-dev libcpp-httplib-dev libcxxopts-dev libgoogle-glog-dev
    libcppunit-dev libexpected-dev libtoml11-dev libboost-dev nlohmann-json3-dev libxxhash-dev zlib1g-dev librapidcheck-dev
    spin python3)

usage() {
    cat <<'USAGE'
usage: Meta/wisteriahold.sh COMMAND
  setup              install the packages (Debian, as root)
  build              build everything
  run                build, then run the main job on loopback and check its answers
  test               build, then run the tests (arguments go to ctest)
  processes          the failure tests on real processes
  model [--mutants]  check the models; with --mutants, every seeded mistake must be found
  soak [ARGS]        routers as processes under drawn faults (--seed N --seeds N --seconds S --routers N)
  measure [ARGS]     the policy tables from the virtual clock
  sanitize KIND      the process-free tests under address,undefined or thread
  format [--check]   format the sources, or fail where they are not formatted
  lint               clang-tidy over the sources
USAGE
}

sources() { git -C "$root" ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '/Generated/' || true; }

setup() {
    local missing=()
    for p in "${packages[@]}"; do
        dpkg -s "$p" >/dev/null 2>&1 || missing+=("$p")
    done
    [ ${#missing[@]} -eq 0 ] && return
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
}

build() {
    cmake -S "$root" -B "$build" -G Ninja "$@" >/dev/null
    cmake --build "$build" -j "$jobs" | { grep -E 'error|warning|FAILED|ninja: ' || true; }
    return "${PIPESTATUS[0]}"
}

sanitize() {
    local kind=$1
    local dir=$build-${kind//,/-}
    cmake -S "$root" -B "$dir" -G Ninja -DWISTERIA_SANITIZE="$kind" -DWISTERIA_DECISIONS_ONLY=ON >/dev/null
    cmake --build "$dir" -j "$jobs" | { grep -E 'error|warning|FAILED' || true; }
    "$root/Meta/run-tests.sh" "$dir"
}

lint() {
    # Each file's verdict is kept under a hash of what it was made from, so that unchanged files cost nothing.
    "$root/Meta/lint.sh" "$build" $(sources | grep '\.cpp$')
}

command=${1:-}
[ $# -gt 0 ] && shift
cd "$root"
case "$command" in
setup) setup ;;
build) setup; build "$@" ;;
run) setup; build; exec "$root/Meta/run-main-job.sh" "$build" "$@" ;;
test) setup; build; "$root/Meta/run-tests.sh" "$build" "$@" ;;
processes) setup; build; exec "$root/Meta/process-tests.sh" "$build" "$@" ;;
model) setup; exec "$root/Meta/check-models.sh" "$@" ;;
soak) setup; build; exec "$build/bin/wisteria-soak" --gateway "$build/bin/wisteria-gateway" --folder "$build/soak" "$@" ;;
measure) setup; build; exec "$build/bin/wisteria-measure" "$@" ;;
sanitize) setup; sanitize "${1:?kind}" ;;
format)
    if [ "${1:-}" = --check ]; then sources | xargs clang-format --dry-run --Werror
    else sources | xargs clang-format -i; fi ;;
lint) setup; lint ;;
*) usage; [ -n "$command" ] && exit 2 || exit 0 ;;
esac
