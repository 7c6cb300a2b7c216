// SPDX-License-Identifier: Apache-2.0

package main

import (
	"testing"

	"github.com/rs/zerolog"

	"fernrail/internal/config"
	"fernrail/internal/hotrestart"
	"fernrail/internal/protocol"
)

// TestParts: a process takes more of the node's limits only after the others had time to see that they have less, and less
// at once.
func TestParts(t *testing.T) {
	dir := t.TempDir()
	c := &config.Node{Name: "n", Sockets: 200, Memory: 1 << 30, Names: &protocol.Names{}, InitialEndpoints: &protocol.EndpointList{}}
	terms, err := config.DecodeSettings(func(key string) (string, bool) {
		if key == "Schemes.count" {
			return "0", true
		}
		return "", false
	})
	if err != nil {
		t.Fatal(err)
	}
	c.Settings = terms
	d := wire(c, nil, zerolog.Nop())
	d.join(dir)
	check := func(what string, want float64) {
		t.Helper()
		if d.look(); d.part != want {
			t.Errorf("%s: %v, want %v", what, d.part, want)
		}
	}
	check("alone", 1)
	other, err := hotrestart.Join(dir, "n")
	if err != nil {
		t.Fatal(err)
	}
	other.StartServing()
	check("beside one that serves", 0.2)
	d.seat.StartServing()
	check("serves, first look", 0.2)
	check("serves, second look", 0.5)
	other.Leave()
	check("alone again, first look", 0.5)
	check("alone again, second look", 1)
}
