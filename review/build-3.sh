#!/bin/sh
# Builds the stand-ins of the cases of the third review, after the build of the deploy file. It needs no network.
set -eu
cd "$(dirname "$0")/standin-3"
go build -buildvcs=false -o ../../target/standin-3 .
