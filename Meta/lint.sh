#!/usr/bin/env bash
# Runs clang-tidy over the given files of a build folder, a few at a time.
# usage: Meta/lint.sh BUILD FILE...
set -euo pipefail
build=$1
shift
[ -f "$build/compile_commands.json" ] || { echo "lint: no compile_commands.json in $build; build first" >&2; exit 2; }
cache=${WISTERIA_LINT_CACHE:-$HOME/.cache/wisteriahold-lint}
mkdir -p "$cache"

lint_one() {
    local build=$1 cache=$2 file=$3
    grep -q "$PWD/$file\"" "$build/compile_commands.json" || return 0
    # The preprocessed text stands for the file and all of its includes; without the folder, so that clones share
    # the verdicts. A file that belongs to several targets is checked once, with its first command: clang-tidy would
    # check it once for each.
    local command key
    local root=$PWD
    command=$(python3 - "$build" "$PWD/$file" <<'PY'
import json, shlex, sys
for entry in json.load(open(sys.argv[1] + "/compile_commands.json")):
    if entry["file"] == sys.argv[2]:
        words = shlex.split(entry["command"])
        words = [w for w in words if w != "ccache" and not w.endswith("/ccache")]
        cut = words.index("-o")
        print(shlex.join(words[:cut] + words[cut + 2:]))
        break
PY
)
    key=$( { cat .clang-tidy; (cd "$build" && eval "$command -E -P" 2>/dev/null | sed "s|$root/||g"); cat "$file"; } | sha256sum | cut -d' ' -f1)
    [ -e "$cache/$key" ] && return 0
    if (cd "$build" && eval "clang-tidy --quiet $(printf %q "$root/$file") -- ${command#* }") 2>/dev/null; then
        touch "$cache/$key"
    else
        echo "lint: $file" >&2
        return 1
    fi
}
export -f lint_one
printf '%s\n' "$@" | xargs -P "${WISTERIA_JOBS:-$(nproc)}" -I{} bash -c 'lint_one "$@"' _ "$build" "$cache" {}
echo "lint: clean"
