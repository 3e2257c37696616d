#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
[ -x ./case ] && [ -x ../../target/src/app/burdocklockd ] || exit 2
exec ./case ../../target/src/app/burdocklockd record.txt
