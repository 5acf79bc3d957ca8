#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases into target/review, with the JDK of the project.
set -eu
cd "$(dirname "$0")/.."
java_home=$(scripts/java-home)
rm -rf target/review
mkdir -p target/review
"$java_home/bin/javac" -Xlint:all -d target/review review/standins/*.java
