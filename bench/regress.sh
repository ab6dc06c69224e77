#!/bin/sh
# Runs the standard scenarios (days) on sites and prints a table with a line for
# each site: its score, whether it passes the gate, the worth of each day and the
# mean worth of the trouble and scale days.  Does nothing where the users' kit is
# missing.
#   bench/regress.sh -o OUT [-w WHY] [-a] [SITE.toml ...]
# Without sites: those of the kit's folders further/, further-grown/, grown/ and
# large/; -a: also the two oldest sites, in sites/.  -w: reason that fleetbench
# records with the runs.  Environment: KIT, BENCH and JOBS as for rounds.sh.
KIT=${KIT:-$(cd "$(dirname "$0")/../.." && pwd)/given/kit/more/system}
BENCH=${BENCH:-$KIT/more/bench-cc6490/bin/fleetbench}
OUT=/tmp/regress WHY="regression run" ALL=
while getopts o:w:a opt; do
	case $opt in
	o) OUT=$OPTARG ;;
	w) WHY=$OPTARG ;;
	a) ALL=1 ;;
	*) exit 2 ;;
	esac
done
shift $((OPTIND - 1))
cd "$(dirname "$0")/.." || exit 1
[ -x "$BENCH" ] || { echo "regress: the kit is not here"; exit 0; }
mkdir -p "$OUT"
if [ $# -eq 0 ]; then
	set -- "$KIT"/large/*.toml "$KIT"/further/*.toml \
	    "$KIT"/further-grown/*.toml "$KIT"/grown/*.toml
	[ -n "$ALL" ] && set -- "$@" "$KIT"/sites/*.toml
fi
for site in "$@"; do
	site_name=$(basename "$site" .toml)
	"$BENCH" score "$site" --jobs "${JOBS:-4}" --why "$WHY: $site_name" \
	    >"$OUT/$site_name.txt" 2>&1
	awk -v name="$site_name" '
	/^score on the standard days/ {
		score = $0
		sub(/.*\): /, "", score)
		sub(/,.*/, "", score)
	}
	/^(quiet|trouble|scale)-[0-9] / && $4 ~ /^-?[0-9.]+$/ {
		days = days " " $4
		if ($1 !~ /^quiet/) { sum += $4; n++ }
	}
	/^GATE/ { gate = $2 }
	/BROKEN/ { broken = broken " " $0 }
	END { printf "%-24s score %s, gate %s; days%s; trouble %.3f%s\n",
	  name, score, gate, days, n ? sum / n : 0, broken }' "$OUT/$site_name.txt"
done | tee "$OUT/table.txt"
