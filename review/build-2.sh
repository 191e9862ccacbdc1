#!/bin/sh
# Builds the stand-ins of cases 6 to 10 with the tool chain alone: no packages, no network.
set -eu
cd "$(dirname "$0")/stand-2"
mkdir -p bin
for case in case*.rs; do
    rustc --edition 2024 -O -o "bin/${case%.rs}" "$case"
done
