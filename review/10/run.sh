#!/bin/sh
# Plays this case once. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
timeout -k 5 110 java -Xmx256m -cp "$root/target/review-2" SlowJournal "$root" "$folder"
status=$?
[ "$status" -eq 0 ] || [ "$status" -eq 1 ] || status=2
exit "$status"
