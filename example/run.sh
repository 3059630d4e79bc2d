#!/bin/sh
# Starts the toy engine and a MySQL front end that uses it; Ctrl-C ends both.
cd "$(dirname "$0")/.." || exit 1
java example/ToyServer.java 13307 &
toy=$!
trap 'kill $toy' EXIT
java -jar target/lineward.jar mysql example/mysql.toml
