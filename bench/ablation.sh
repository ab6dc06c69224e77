#!/bin/sh
# Shows how much each feature contributes: runs scenarios (days) on sites with
# all features and then with each one disabled in turn, and prints the mean score
# (worth) and its spread over the seeds.  The features are disabled with the
# setting "off" in the template of the settings, in a copy of the repository.
# Does nothing where the users' kit, which has the sites and the program
# fleetbench, is missing.
#   bench/ablation.sh -o OUT [-s "SEED ..."] [-d "DAY ..."] [-m "NAME ..."] SITE.toml ...
# -m: names of the features to disable.  Environment: KIT, BENCH, JOBS and NOCPU
# as for rounds.sh.
export KIT=${KIT:-$(cd "$(dirname "$0")/../.." && pwd)/given/kit/more/system}
BENCH=${BENCH:-$KIT/more/bench-cc6490/bin/fleetbench}
OUT=/tmp/ablation SEEDS="1 2" DAYS="trouble-1 scale-1 trouble-2 scale-2 trouble-3"
FEATURES="order room book ahead lanes renew aside speed copies gather
handover ranks doubt without-owner for-owner quick-only pace size share"
while getopts o:s:d:m: opt; do
	case $opt in
	o) OUT=$OPTARG ;;
	s) SEEDS=$OPTARG ;;
	d) DAYS=$OPTARG ;;
	m) FEATURES=$OPTARG ;;
	*) exit 2 ;;
	esac
done
shift $((OPTIND - 1))
cd "$(dirname "$0")/.." || exit 1
[ -x "$BENCH" ] || { echo "ablation: the kit is not here"; exit 0; }
mkdir -p "$OUT"
copy=$OUT/copy
rm -rf "$copy"
mkdir "$copy" || exit 1
git ls-files | grep -v '^journal/' | tar -cf - -T - | tar -xf - -C "$copy"
git -C "$copy" init -q || exit 1
for feature in none $FEATURES; do
	off=$feature
	[ "$feature" = none ] && off=
	sed "s/\"off\": \"[^\"]*\"/\"off\": \"$off\"/" deploy/node.json.tmpl \
	    >"$copy/deploy/node.json.tmpl"
	"$copy/bench/rounds.sh" -o "$OUT/$feature" -s "$SEEDS" -d "$DAYS" \
	    -w "ablation: without $feature" "$@" >/dev/null
	for site in "$@"; do
		site_name=$(basename "$site" .toml)
		awk -v feature="$feature" -v site="$site_name" '
		index($1, site "-") == 1 && $1 ~ "^" site "-(quiet|trouble|scale|mix)" {
			n++; sum += $2; gsub(/[^0-9.]/, "", $6); spread += $6
			broken += $8
		}
		END { printf "%-14s %-22s %.3f  spread %.3f  broken %d\n",
		    feature, site, n ? sum / n : 0, n ? spread / n : 0, broken }' \
		    "$OUT/$feature/table.txt"
	done
done | tee "$OUT/ablation.txt"
