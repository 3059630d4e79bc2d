#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# Writes what was sent, answered and run to record.txt in this folder.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
record=$here/record.txt
if [ ! -e "$root/review/review.jar" ] || [ ! -e "$root/target/lineward.jar" ]; then
  echo "the build command of the deploy file and review/build.sh come first" | tee "$record"
  exit 2
fi
exec java -Xmx256m -cp "$root/review/review.jar" SecondCopy "$root" "$record"
