#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" state-folder "$(dirname "$0")"
