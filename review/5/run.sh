#!/bin/bash
# SPDX-License-Identifier: Apache-2.0
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
dir=$(cd "$(dirname "$0")" && pwd) && cd "$dir/../.." || exit 2
for program in bin/fernrail review/bin/case5; do
	[ -x "$program" ] || { echo "$program is missing; build it first"; exit 2; }
done
exec review/bin/case5 "$dir"
