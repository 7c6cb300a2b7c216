// SPDX-License-Identifier: Apache-2.0

package main

import (
	"errors"

	"fernrail/internal/routing"
	"fernrail/internal/telemetry"
	"fernrail/internal/transport"
)

// desk is what operators may ask of this node.
type desk struct {
	node     *routing.Node
	server   *transport.Server
	counters *telemetry.Counters
}

func (d *desk) Ready() bool { return d.server.Ready() }

func (d *desk) Telemetry() ([]byte, error) {
	f := d.counters.Read()
	f.ExecutorsKnown, f.ExecutorsExcluded = d.node.Figures()
	return f.Line()
}

var errLater = errors.New("not to be had yet")

func (d *desk) Exclude(string) error { return errLater }
func (d *desk) Include(string) error { return errLater }
func (d *desk) Evacuate() error      { return d.server.Drain() }
func (d *desk) Activate() error      { return d.server.Activate() }
