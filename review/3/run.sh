#!/bin/sh
# Runs the case: exit 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 does the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
case_name=silent_store
program="$root/review/standins/target/release/$case_name"
[ -x "$program" ] && [ -x "$root/target/release/bankcoved" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 115 "$program" "$root" "$folder" "$here/record.txt"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
