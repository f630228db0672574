#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
target/review-2/trial drain_late_connection review/9/record.txt
code=$?
[ $code -le 1 ] || code=2
exit $code
