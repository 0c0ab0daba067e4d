#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
case=$(basename "$folder")
[ -x "$root/review/bin/case$case" ] && [ -x "$root/bin/cometrack" ] || { echo "not built"; exit 2; }
"$root/review/bin/case$case" "$root" "$folder"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
