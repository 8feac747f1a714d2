#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start; needs JDK 17 only, and the build of the deploy file
# for the nodes themselves.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -d target/review-3 review/src-3/*.java
