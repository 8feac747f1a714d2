#!/bin/bash
# Builds the stand-ins and the harness of the scripts in review/6 and review/7, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
out=review/target/classes-2
mkdir -p "$out"
javac -nowarn -proc:none -cp "platform/target/lib/*" -d "$out" \
    org.cactusshift.standin/src/main/java/org/cactusshift/standin/*.java \
    org.cactusshift.standin/src/main/java/org/cactusshift/standin/link/*.java \
    org.cactusshift.standin/src/main/java/org/cactusshift/standin/site/*.java \
    review/src-2/review2/*.java
