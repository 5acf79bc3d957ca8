#!/usr/bin/env bash
# Plays the case beside claim.txt; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case couldn't run. Needs scripts/build-platform and
# review/build-2.sh before it.
set -u
cd "$(dirname "$0")/../.." || exit 2
java_home=$(scripts/java-home) || exit 2
if [ ! -x target/platform/runtime/bin/java ] || [ ! -d target/review-2 ]; then
  echo "run scripts/build-platform and review/build-2.sh first"
  exit 2
fi
timeout 115 "$java_home/bin/java" -Xmx400m -cp target/review-2 org.mustardstage.review2.Main \
  same-id review/9/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
