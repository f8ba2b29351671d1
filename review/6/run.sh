#!/bin/sh
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/evacuation ] || { echo "target/review-2/evacuation is not built (review/build-2.sh)"; exit 2; }
exec target/review-2/evacuation review/6/record.txt
