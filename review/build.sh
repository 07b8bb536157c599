#!/bin/bash
# Builds the stand-ins that the cases start, into bin/review. It needs nothing but the Go tool chain.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin/review
go build -o bin/review/ ./review/testdata/standin
