#!/usr/bin/env bash
# Checks the Promela models under Specs/ over their whole state spaces, without bitstate approximations.
# With --mutants, each seeded mistake (a -D flag of the model) must be found by the checker instead.
#
# Comment lines at the head of a model steer its check:
#   /* mutants: MUTANT_A MUTANT_B MUTANT_C */   the seeded mistakes, at least three
#   /* pan: -DVECTORSZ=2048 -DSAFETY */         flags for compiling the verifier
#   /* run: -m100000 */                         arguments of the verifier
#   /* ltl: name1 name2 */                      formulas, each checked with -a -N NAME
set -euo pipefail

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
readonly minimum_mutants=3
readonly head_lines=40
# A check is stopped beyond these, and counts as failed.
readonly memory_limit_mb=4096
readonly time_limit_seconds=600

usage() {
    echo "usage: Meta/check-models.sh [--mutants] [--model NAME]" >&2
    exit 2
}

with_mutants=no
only=
while [ $# -gt 0 ]; do
    case "$1" in
    --mutants) with_mutants=yes ;;
    --model) only=${2:-}; [ -n "$only" ] || usage; shift ;;
    *) usage ;;
    esac
    shift
done

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
passed=0
failed=0

# directive MODEL KEY: the words of the model's head comment for the key.
directive() { head -n "$head_lines" "$1" | sed -n "s|^/\* *$2: *\(.*[^ ]\) *\*/ *\$|\1|p" | tr '\n' ' '; }

report() {
    local verdict=$1 model=$2 what=$3 details=$4
    printf '%-6s %-18s %-32s %s\n' "$verdict" "$model" "$what" "$details"
    if [ "$verdict" = pass ]; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
}

# Leaves a verifier at FOLDER/pan. Optimizing one takes up to a minute: a mutant, found within a second, gets none.
make_verifier() {
    local file=$1 folder=$2 define=$3
    local optimize=-O1
    [ -z "$define" ] || optimize=-O0
    local flags
    flags=$(directive "$file" pan)
    case " $flags" in
    *BITSTATE* | *-DHC* | *MA=*) echo "approximate or slow state stores are not allowed: $flags"; return 1 ;;
    esac
    mkdir -p "$folder"
    cp "$file" "$folder/model.pml"
    # shellcheck disable=SC2086
    (cd "$folder" && spin ${define:+-D$define} -a model.pml && cc $optimize -w -DMEMLIM=$memory_limit_mb $flags -o pan pan.c) \
        >"$folder/make.log" 2>&1 || { tail -n 5 "$folder/make.log"; return 1; }
    [ -x "$folder/pan" ]
}

# Prints "VERDICT details", where VERDICT is clean, error or incomplete.
run_verifier() {
    local file=$1 folder=$2 formula=$3
    local arguments out began verdict states depth
    arguments=$(directive "$file" run)
    out=$folder/run${formula:+-$formula}.log
    began=$(date +%s.%N)
    # shellcheck disable=SC2086
    (cd "$folder" && timeout $time_limit_seconds ./pan $arguments ${formula:+-a -N $formula}) >"$out" 2>&1 \
        || echo "stopped with status $?" >>"$out"
    states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$out" | head -n 1)
    depth=$(sed -n 's/.*depth reached \([0-9]*\).*/\1/p' "$out" | head -n 1)
    if grep -qE 'errors: [1-9]' "$out"; then
        verdict=error
    elif grep -qE 'max search depth too small|out of memory|memory limit|Search not completed|^stopped|error: ' "$out" \
        || ! grep -q 'errors: 0' "$out"; then
        verdict=incomplete
    else
        verdict=clean
    fi
    printf '%s states=%s depth=%s time=%.1fs' "$verdict" "${states:-?}" "${depth:-?}" \
        "$(echo "$(date +%s.%N) $began" | awk '{ print $1 - $2 }')"
}

# The properties of a model: each formula, and the assertions and end states without one ("-").
properties() {
    local formulas
    formulas=$(directive "$1" ltl)
    echo "- $formulas"
}

check_model() {
    local file=$1 name=$2 property result
    if ! problem=$(make_verifier "$file" "$scratch/$name" ""); then
        report FAIL "$name" build "$problem"
        return
    fi
    for property in $(properties "$file"); do
        result=$(run_verifier "$file" "$scratch/$name" "${property#-}")
        if [ "${result%% *}" = clean ]; then
            report pass "$name" "${property/#-/safety}" "$result"
        else
            report FAIL "$name" "${property/#-/safety}" "$result"
            grep -m 3 -E '^pan|error' "$scratch/$name"/run*.log || true
        fi
    done
}

# A mutant is found when one of the model's properties fails for it.
check_mutant() {
    local file=$1 name=$2 mutant=$3 property result
    local folder=$scratch/$name-$mutant
    if ! problem=$(make_verifier "$file" "$folder" "$mutant"); then
        report FAIL "$name" "$mutant" "$problem"
        return
    fi
    for property in $(properties "$file"); do
        result=$(run_verifier "$file" "$folder" "${property#-}")
        if [ "${result%% *}" = error ]; then
            report pass "$name" "$mutant" "found by ${property/#-/safety}: ${result#* }"
            return
        fi
    done
    report FAIL "$name" "$mutant" "missed: $result"
}

check_mutants() {
    local file=$1 name=$2 mutant
    local mutants
    read -r -a mutants <<<"$(directive "$file" mutants)"
    if [ ${#mutants[@]} -lt $minimum_mutants ]; then
        report FAIL "$name" mutants "only ${#mutants[@]} of at least $minimum_mutants seeded mistakes"
    fi
    for mutant in "${mutants[@]}"; do
        # A flag that the model never looks at would be no mistake at all.
        if ! grep -qw "$mutant" <(grep -v '^/\* *mutants:' "$file"); then
            report FAIL "$name" "$mutant" "the model does not use this flag"
            continue
        fi
        check_mutant "$file" "$name" "$mutant"
    done
}

found=no
for file in "$root"/Specs/*.pml; do
    [ -e "$file" ] || continue
    name=$(basename "$file" .pml)
    [ -z "$only" ] || [ "$only" = "$name" ] || continue
    found=yes
    if [ $with_mutants = yes ]; then check_mutants "$file" "$name"; else check_model "$file" "$name"; fi
done
if [ $found = no ]; then
    report FAIL "${only:-Specs}" models "no model found"
fi
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
