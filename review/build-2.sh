#!/bin/bash
# Builds the program of the cases 6 to 10, which plays all stand-ins. It needs the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-rigs ./review/rigs-2/testdata
