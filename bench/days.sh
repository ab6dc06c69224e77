#!/bin/sh
# Play the days of this folder on a site, when the users' kit is there.
#   tests/days/play.sh SITE.toml [NAME ...]
BENCH=${BENCH:-../given/kit/more/system/bin/fleetbench}
cd "$(dirname "$0")/../.." || exit 1
[ -x "$BENCH" ] || { echo "days: the kit is not here"; exit 0; }
site=$1
shift
[ $# -gt 0 ] || set -- $(ls tests/days/*.toml | sed 's|.*/||; s|\.toml$||')
for name in "$@"; do
	"$BENCH" run "$site" "tests/days/$name.toml" \
	    --why "own day $name" >"/tmp/day-$name.txt" 2>&1
	grep -a "^own-$name" "/tmp/day-$name.txt" | head -1
	grep -aE '^(short of the gate: )?[A-Z]+ at ' "/tmp/day-$name.txt" | head -2
done
