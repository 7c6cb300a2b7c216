#!/bin/sh
# SPDX-License-Identifier: Apache-2.0
# Builds the stand-ins and drivers of the review cases into review/bin. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for case in review/[0-9]*/; do
	n=$(basename "$case")
	go build -tags review -o "review/bin/case$n" "./review/$n"
done
