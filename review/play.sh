#!/usr/bin/env bash
# Plays one case with the program that the deploy file runs: play.sh CASE FOLDER.
# Ends with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
root="$(cd "$(dirname "$0")/.." && pwd)"
program="$(sed -n 's/^run = "\([^ "]*\).*/\1/p' "$root/deploy/system.toml" | head -n 1)"
standin="$root/review/bin/standin"
for file in "$root/$program" "$standin"; do
	if [ ! -x "$file" ]; then
		echo "the case couldn't run: a program is not built yet; see review/REPORT.md"
		exit 2
	fi
done
cd "$root" || exit 2
timeout -k 2 115 "$standin" "$1" "$program" "$2/record.txt"
result=$?
case $result in
0 | 1) exit $result ;;
*) exit 2 ;;
esac
