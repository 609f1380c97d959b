#!/usr/bin/env bash
# Plays the case of claim.txt and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review-2/case6 ] && [ -x bin/lockloom ] || { echo "build first: deploy file, review/build-2.sh" >&2; exit 2; }
exec bin/review-2/case6 review/6
