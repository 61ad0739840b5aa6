#!/bin/sh
# Plays case 'watchers' of the third review; see claim.txt. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
for program in target/release/buckthornlink target/release/buckthornlink-agent target/review-3/stand; do
    [ -x "$program" ] || { echo "$program is missing: build it first" >&2; exit 2; }
done
exec target/review-3/stand watchers "$folder"
