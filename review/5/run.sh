#!/bin/sh
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
stand=target/release/review-stand
if [ ! -x "$stand" ]; then
  echo "$stand is missing: run review/build.sh" >&2
  exit 2
fi
exec "$stand" grown-configuration review/5
