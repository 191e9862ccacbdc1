#!/usr/bin/env bash
# Builds what the cases start beside the front: the rollout tool, and the cases' own programs (the standard library alone).
# The deploy file's build comes before.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p onyxyoke-rollout
mkdir -p review/bin
for source in review/stand/*.rs; do
  name=$(basename "$source" .rs)
  [ "$name" = stand ] || rustc --edition 2024 -O -A dead_code -o "review/bin/$name" "$source"
done
