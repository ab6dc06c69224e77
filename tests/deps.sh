# Installs the packages of packages.txt that are missing.
missing=""
for package in $(cat packages.txt); do
	dpkg-query -W -f '${Status}' "$package" 2>/dev/null |
	    grep -q 'install ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
echo "deps: installing$missing"
apt-get update >/dev/null && apt-get install -y $missing >/dev/null
