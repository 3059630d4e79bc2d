#!/bin/sh
# Plays this case once, and writes record.txt in this folder. Exit status: 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. TROUBLE=0 plays it without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
record="$folder/record.txt"
echo "case 8, TROUBLE=${TROUBLE:-1}" > "$record" || exit 2
if [ ! -e "$root/target/lineward.jar" ] || [ ! -e "$root/target/review-2/LongData.class" ]; then
  echo "the build command of the deploy file and review/build-2.sh come first" | tee -a "$record"
  exit 2
fi
timeout -k 5 110 java -Xmx256m -cp "$root/target/review-2" LongData "$root" "$record" 2>> "$record"
# The virtual machine also ends with 1 if it fails itself, so a played case ends with 40 or 41.
case $? in
  40) status=0 ;;
  41) status=1 ;;
  *) status=2 ;;
esac
echo "exit $status" | tee -a "$record"
exit "$status"
