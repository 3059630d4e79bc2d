#!/bin/sh
# Builds the stand-ins and checks of the review into review/review.jar; needs nothing but the JDK.
set -e
cd "$(dirname "$0")"
rm -f review.jar
classes=$(mktemp -d)
trap 'rm -rf "$classes"' EXIT
javac -d "$classes" ./*.java
jar cf review.jar -C "$classes" .
