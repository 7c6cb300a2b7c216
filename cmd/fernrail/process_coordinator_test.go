// SPDX-License-Identifier: Apache-2.0

package main

import (
	"testing"

	"github.com/rs/zerolog"

	"fernrail/internal/config"
	"fernrail/internal/hotrestart"
	"fernrail/internal/protocol"
)

// TestLimitShare checks that a process applies a smaller share of the node's limits at once, and a larger one
// only after the other processes had time to notice that theirs is smaller.
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
		MaxDescriptors:   200,
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
			t.Errorf("%s: got limit share %v, want %v", what, processes.limitShare, want)
		}
	}
	check("a single process", 1)
	other, err := hotrestart.Join(dir, "n")
	if err != nil {
		t.Fatal(err)
	}
	other.StartServing()
	check("starting beside a serving process", 0.2)
	processes.startServing()
	check("serving, first check", 0.2)
	check("serving, second check", 0.5)
	other.Leave()
	check("the other has left, first check", 0.5)
	check("the other has left, second check", 1)
}
