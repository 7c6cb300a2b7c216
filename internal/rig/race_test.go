// SPDX-License-Identifier: Apache-2.0

//go:build race

package rig_test

func init() { raced = []string{"-race"} }
