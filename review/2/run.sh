#!/bin/sh
exec "$(dirname "$0")/../run-case.sh" unread-answers "$(dirname "$0")"
