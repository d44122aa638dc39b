#!/usr/bin/env bash
# Case 6: see claim.txt.
set -u
# 0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../harness-2/system.sh"
begin 3 2 11
play case-6
