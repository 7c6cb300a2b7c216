// SPDX-License-Identifier: Apache-2.0

//go:build race

package testcluster_test

func init() { raceFlags = []string{"-race"} }
