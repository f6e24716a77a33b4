#!/bin/sh
# Runs the case from the repository's root, after the build of the deploy file and
# review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run, and writes record.txt beside it. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2 ] && [ -x target/cuminstream-edge ] || exit 2
exec target/review-2 stop review/7
