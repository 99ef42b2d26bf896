#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hornbeamproxy ] && [ -x target/standin-3 ] || exit 2
exec target/standin-3 hole review/15/record.txt
