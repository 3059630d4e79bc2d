#!/bin/sh
# Compiles the stand-ins and the cases of review/two into target/review-2. Run it after the `build` command of
# deploy/balancer.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -d target/review-2 review/two/*.java
