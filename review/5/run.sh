#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-2/review-2 ] || [ ! -x target/release/trefoilproxyd-platform ]; then
    echo "build the deploy file first, then review/build-2.sh"
    exit 2
fi
exec target/review-2/review-2 innocent review/5/record.txt
