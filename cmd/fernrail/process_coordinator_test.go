// SPDX-License-Identifier: Apache-2.0

package main

import (
	"testing"

	"github.com/rs/zerolog"

	"fernrail/internal/config"
	"fernrail/internal/hotrestart"
	"fernrail/internal/protocol"
)

// TestLimitShare: a process takes more of the node's limits only after the others had time to see that they have
// less, and less at once.
func TestLimitShare(t *testing.T) {
	dir := t.TempDir()
	settings, err := config.DecodeSettings(func(key string) (string, bool) {
		if key == "Schemes.count" {
			return "0", true
		}
		return "", false
	})
	if err != nil {
		t.Fatal(err)
	}
	c := &config.Node{
		Name:             "n",
		Sockets:          200,
		Memory:           1 << 30,
		Names:            &protocol.Names{},
		InitialEndpoints: &protocol.EndpointList{},
		Settings:         settings,
	}
	processes := newNode(c, nil, zerolog.Nop()).processes
	processes.join(dir)
	check := func(what string, want float64) {
		t.Helper()
		if processes.sync(); processes.limitShare != want {
			t.Errorf("%s: %v, want %v", what, processes.limitShare, want)
		}
	}
	check("alone", 1)
	other, err := hotrestart.Join(dir, "n")
	if err != nil {
		t.Fatal(err)
	}
	other.StartServing()
	check("beside one that serves", 0.2)
	processes.startServing()
	check("serves, first look", 0.2)
	check("serves, second look", 0.5)
	other.Leave()
	check("alone again, first look", 0.5)
	check("alone again, second look", 1)
}
