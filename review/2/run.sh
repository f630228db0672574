#!/bin/sh
# TROUBLE=0 plays the case without its disruption.
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec "$(dirname "$0")/../run-case.sh" unread-answers "$(dirname "$0")"
