#!/bin/sh
# Runs scenarios (days) on sites with several seeds, and prints for each site and
# day the mean score (worth), the worst one and the spread, so that two versions
# of a policy can be compared.  Does nothing where the users' kit is missing.
#   bench/rounds.sh -o OUT [-w WHY] [-s "SEED ..."] [-d "DAY ..."] SITE.toml ...
# -w: reason that fleetbench records with the runs.
# Environment: KIT, folder of the users' kit; BENCH, its program fleetbench;
# JOBS, runs at a time (4); NOCPU=1: processor time isn't charged.
KIT=${KIT:-$(cd "$(dirname "$0")/../.." && pwd)/given/kit/more/system}
BENCH=${BENCH:-$KIT/more/bench-cc6490/bin/fleetbench}
OUT=/tmp/rounds WHY=rounds SEEDS="1 2 3"
DAYS="trouble-1 scale-1 trouble-2 scale-2 trouble-3"
while getopts o:w:s:d: opt; do
	case $opt in
	o) OUT=$OPTARG ;;
	w) WHY=$OPTARG ;;
	s) SEEDS=$OPTARG ;;
	d) DAYS=$OPTARG ;;
	*) exit 2 ;;
	esac
done
shift $((OPTIND - 1))
cd "$(dirname "$0")/.." || exit 1
[ -x "$BENCH" ] || { echo "rounds: the kit is not here"; exit 0; }
mkdir -p "$OUT"
"$BENCH" build >"$OUT/build.txt" 2>&1 || { cat "$OUT/build.txt"; exit 1; }
export BENCH OUT WHY NOCPU
for site in "$@"; do
	for day in $DAYS; do
		for seed in $SEEDS; do
			echo "$site $day $seed"
		done
	done
done | xargs -P "${JOBS:-4}" -L 1 sh -c '
	name=$(basename "$0" .toml)-$(basename "$1" .toml)-$2
	"$BENCH" run "$0" "$1" --seed "$2" --jobs 1 ${NOCPU:+--no-cpu} \
	    --report "$OUT/$name.json" --why "$WHY" >"$OUT/$name.txt" 2>&1'
for site in "$@"; do
	for day in $DAYS; do
		run_name=$(basename "$site" .toml)-$(basename "$day" .toml)
		for seed in $SEEDS; do
			awk -v seed="$seed" '
			/^worth [-0-9.]+ = / { worth = $2 }
			/^(short of the gate: )?[A-Z]+ at / { broken = broken " " $0 }
			END { print seed, worth == "" ? "none" : worth, broken }' \
			    "$OUT/$run_name-$seed.txt"
		done | awk -v name="$run_name" '
		$2 == "none" { failed++; next }
		{ n++; sum += $2; all = all " " $2
		  if (n == 1 || $2 < min) min = $2
		  if (n == 1 || $2 > max) max = $2
		  if (NF > 2) broken++ }
		END { printf "%-34s %.3f  worst %.3f  spread %.3f  broken %d  without result %d :%s\n",
		  name, n ? sum / n : 0, min, max - min, broken, failed, all }'
	done
done | tee "$OUT/table.txt"
awk '{ sum += $2; n++ } END { if (n) printf "mean of %d days %.3f\n", n, sum / n }' "$OUT/table.txt"
