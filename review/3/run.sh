#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -e "$root/review/out/BadClients.class" ] && [ -e "$root/target/lineward.jar" ] || exit 2
exec java -Xmx256m -cp "$root/review/out" BadClients "$root" "$here"
