#!/bin/sh
# Runs the scenarios of deploy/days/ (days) on a site, and prints each result.
# Does nothing where the users' kit is missing.
#   bench/days.sh SITE.toml [NAME ...]
# A scenario that names a class which the site does not have is skipped.
# Environment: KIT, folder of the users' kit; BENCH, its program fleetbench;
# JOBS, runs at a time (4).
KIT=${KIT:-$(cd "$(dirname "$0")/../.." && pwd)/given/kit/more/system}
BENCH=${BENCH:-$KIT/more/bench-cc6490/bin/fleetbench}
cd "$(dirname "$0")/.." || exit 1
[ -x "$BENCH" ] || { echo "days: the kit is not here"; exit 0; }
export BENCH SITE="$1"
shift
[ $# -gt 0 ] || set -- $(ls deploy/days/*.toml | sed 's|.*/||; s|\.toml$||')
"$BENCH" build >/dev/null 2>&1 || { echo "days: the build failed"; exit 1; }
printf '%s\n' "$@" | xargs -P "${JOBS:-4}" -I NAME sh -c '
	out=/tmp/day-$(basename "$SITE" .toml)-NAME.txt
	day=deploy/days/NAME.toml
	for class in $(grep -o "class = \"[^\"]*\"" "$day" | cut -d\" -f2); do
		grep -q "{ name = \"$class\"," "$SITE" || {
			echo "NAME: skipped, the site has no class $class"
			exit 0
		}
	done
	"$BENCH" run "$SITE" "$day" --jobs 1 \
	    --why "own day NAME" >"$out" 2>&1
	grep -aE "^(own-)?NAME " "$out" | head -1
	grep -aE "^(short of the gate: )?[A-Z]+ at " "$out" | head -2'
