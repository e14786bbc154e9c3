#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs target/release/mastbay-edge and what review/build-2.sh builds.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/mastbay-edge target/review-2/stand-in-2; do
    [ -x "$program" ] || { echo "$program is missing"; exit 2; }
done
exec target/review-2/stand-in-2 denied target/release/mastbay-edge review/8
