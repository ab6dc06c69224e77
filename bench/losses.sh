#!/bin/sh
# Shows where the score (worth) of a run was lost: prints the time windows with
# the greatest losses, and the events within 2 s of each.  The loss of a window is
# the number of requests that it owed, times one minus their mean worth.  Reads
# the output of `fleetbench run`.
#   bench/losses.sh [-n WINDOWS] OUTPUT ...
WINDOWS=8
[ "$1" = -n ] && { WINDOWS=$2; shift 2; }
for file in "$@"; do
	echo "== $(basename "$file" .txt): $(grep -a '^worth ' "$file" | cut -c1-100)"
	grep -aE '^(class|[a-z]+-[a-z]+ +[0-9]+ +[0-9]+ )' "$file" | head -8
	grep -aE "^not served, last try" "$file" | sed 's/; the first.*//'
	awk -v max="$WINDOWS" '
	/^from second/ { windows = 1; next }
	/^what happened/ { windows = 0; events = 1; next }
	/^the core was/ || /^seen/ { events = 0 }
	windows && NF >= 8 {
		n++; at[n] = $1; line[n] = $0
		lost[n] = ($2 - $7) * (1 - $8)
		owed += $2 - $7; all += lost[n]
	}
	windows && NF == 0 { windows = 0 }
	events && NF > 4 {
		m++; from[m] = $1; to[m] = $4
		$1 = $2 = $3 = $4 = $5 = ""
		gsub(/^ +/, ""); what[m] = $0
	}
	END {
		printf "lost %.0f of %d requests that were owed\n", all, owed
		for (k = 1; k <= max && k <= n; k++) {
			best = 0
			for (i = 1; i <= n; i++)
				if (!used[i] && (!best || lost[i] > lost[best]))
					best = i
			used[best] = 1
			printf "%5.1f lost at %s s:", lost[best], at[best]
			for (j = 1; j <= m; j++)
				if (from[j] < at[best] + 2 && to[j] > at[best] - 2)
					printf " [%s..%s %s]", from[j], to[j], what[j]
			print ""
		}
	}' "$file"
done
