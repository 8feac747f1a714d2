#!/usr/bin/env bash
# Builds the stand-ins of the scripts; the build of the deploy file must have run before.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target/classes
javac --release 17 -cp "../platform/target/org.cactusshift.platform.jar:../platform/target/lib/*" \
  -d target/classes src/review/*.java
