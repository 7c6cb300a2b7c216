// SPDX-License-Identifier: Apache-2.0

package main

import (
	"os"
	"runtime/debug"

	"fernrail/internal/experiment"
)

// revision identifies the program by its commit, or by the digest of its binary if the build has no commit or
// a modified one, so that results of different programs are not mixed.
func revision() (string, error) {
	commit, modified := "", false
	if b, ok := debug.ReadBuildInfo(); ok {
		for _, s := range b.Settings {
			switch s.Key {
			case "vcs.revision":
				commit = s.Value
			case "vcs.modified":
				modified = s.Value == "true"
			}
		}
	}
	if commit != "" && !modified {
		return commit, nil
	}
	path, err := os.Executable()
	if err != nil {
		return "", err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	return "program " + experiment.Hash(text), nil
}
