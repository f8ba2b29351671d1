#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mesh/silvercross-mesh ] || { echo "build first: cargo build --profile mesh --locked -p silvercross-mesh"; exit 2; }
[ -x target/review/standins ] || sh review/build.sh || exit 2
exec target/review/standins drain review/3/record.txt
