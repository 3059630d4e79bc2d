#!/bin/sh
# Builds the stand-ins and checks of the review into review/out; needs nothing but the JDK.
set -e
cd "$(dirname "$0")"
rm -rf out
mkdir -p out
javac -d out stand-ins/*.java
