#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ./case ] && [ -x ../../target/src/app/burdocklockd ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec ./case ../../target/src/app/burdocklockd record.txt
