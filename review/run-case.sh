#!/usr/bin/env bash
# Plays a case: run-case.sh FOLDER PROGRAM. The program starts the fronts with `run` of the deploy file. Exit codes: 1 the
# rule was broken, 0 it held, 2 the case could not run. With TROUBLE=0 the disruption is left out.
set -u
case_folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$(dirname "$0")/.." && pwd)
program="$root/review/bin/$2"
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")
for needed in "$program" "$root/target/release/onyxyoke" "$root/target/release/onyxyoke-rollout"; do
  [ -x "$needed" ] || { echo "$needed is missing: run the deploy file's build and review/build.sh"; exit 2; }
done
folder=$(mktemp -d) || exit 2
export REVIEW_CASE="$folder"

# Ends what the case started and left, by the variable that only its processes have.
end_processes() {
  local entry
  for entry in /proc/[0-9]*; do
    if [ "${entry#/proc/}" != $$ ] && tr '\0' '\n' 2>/dev/null < "$entry/environ" | grep -qxF "REVIEW_CASE=$folder"; then
      kill -KILL "${entry#/proc/}" 2>/dev/null
    fi
  done
}
trap 'end_processes; rm -rf "$folder"' EXIT

ROOT="$root" FOLDER="$folder" RECORD="$case_folder/record.txt" RUN="$run" timeout -k 2 112 "$program"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
