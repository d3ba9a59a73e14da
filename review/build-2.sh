#!/bin/sh
# Builds the cases of the second review into target/review-2, and `refused`, which belongs
# to a finding without a case. Their stand-ins are part of each; only the standard library
# of Rust is used.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    rustc --edition 2024 -O -o "target/review-2/case-$number" "review/$number/case.rs"
done
rustc --edition 2024 -O -o target/review-2/refused review/kit-2/refused.rs
