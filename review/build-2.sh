#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. It needs no network.
set -eu
cd "$(dirname "$0")/standin-2"
go build -buildvcs=false -o ../../target/reviewstandin .
