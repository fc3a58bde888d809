#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out. Needs the build of deploy/system.toml and review/build-2.sh.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
directory="$(mktemp -d)" || exit 2
trap 'rm -rf "$directory"' EXIT
target/review-2/cases stale-configuration "$here/record.txt" "$directory" "${TROUBLE:-1}"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
