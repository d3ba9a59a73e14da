#!/bin/sh
# Builds the stand-ins of the review's scripts. They use the standard library only.
# Case 1 starts `stop`, 2 `unreadable`, 3 `token`, 4 `observers`, 5 `cut`. The others
# belong to findings without a case; see REPORT.md.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in stop unreadable token observers cut silent gone parts chain restored; do
    rustc --edition 2024 -C opt-level=2 -C debuginfo=0 -A warnings \
        -o "target/review/$name" "review/standins/$name.rs"
done
