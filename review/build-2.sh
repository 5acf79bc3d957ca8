#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into target/review-2. The
# entry VM itself is built by the deploy file (scripts/build-platform).
set -eu
cd "$(dirname "$0")/.."
java_home=$(scripts/java-home)
rm -rf target/review-2
mkdir -p target/review-2
"$java_home/bin/javac" -Xlint:all -Werror --release 21 -d target/review-2 review/standins-2/*.java
