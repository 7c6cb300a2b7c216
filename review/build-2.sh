#!/bin/bash
# SPDX-License-Identifier: Apache-2.0
# Builds the stand-ins of the second review's cases, after the build of the deploy file. It needs no network:
# they use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
go build -tags review2 -o review/bin/lab2 ./review/lab2
