#!/bin/bash
# Builds the stand-ins of the cases 6 and later, into target/. Run from anywhere; needs no network.
set -e
cd "$(dirname "$0")"
mkdir -p ../target
go build -o ../target/kit2 ./kit2
