#!/bin/sh
# Builds the cases of the second review into target/review-2, and the stand-ins that belong
# to findings without a case. Only the standard library of Rust is used.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    rustc --edition 2024 -O -o "target/review-2/case-$number" "review/$number/case.rs"
done
for source in review/kit-2/*.rs review/kit-3/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = kit ] || rustc --edition 2024 -O -o "target/review-2/$name" "$source"
done
