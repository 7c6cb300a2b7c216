// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fernrail/internal/config"
	"fernrail/internal/fleet"
	"fernrail/internal/hotrestart"
	"fernrail/internal/metrics"
	"fernrail/internal/routing"
	"fernrail/internal/transport"
)

// look is between two looks at what the other processes of this node do; a ban has to hold in all within a second.
const look = 100 * time.Millisecond

// desk is what operators may ask of this process, and its part in the node beside others.
type desk struct {
	config      *config.Node
	node        *routing.Router
	server      *transport.Server
	descriptors *transport.ConnectionBudget
	counters    *metrics.Counters
	seat        *hotrestart.Process
	share       *fleet.Fleet // nil: no budget is held with other nodes
	subset      atomic.Pointer[fleet.SubsetStatus]
	log         zerolog.Logger

	mu     sync.Mutex // round what follows
	bans   []string   // as the node was told
	fault  string     // of the last look at the bans
	noted  int        // executors ever listed that the other processes can know of
	part   float64    // of the node's limits that is this process's
	grows  bool       // it was seen to be more at the last look
	owner  bool       // this process holds the node's part of cold executors' budgets
	leaves bool       // it has given that to another one
}

// join takes a place among the node's processes, with the bans that hold there.
func (d *desk) join(dir string) {
	var err error
	if d.seat, err = hotrestart.Join(dir, d.config.Name); err != nil {
		d.log.Warn().Err(err).Str("key", "TMPDIR").Msg("nothing is shared with other processes of this node")
	}
	if d.owner = d.seat.AcquireOwnership(); !d.owner {
		d.own(false)
	}
	d.look()
}

// own tells whether what one process of a node may hold alone is this one's.
func (d *desk) own(yes bool) {
	d.node.SetSlowStartOwner(yes)
	if d.share != nil {
		d.share.SetFloorOwner(yes)
	}
}

// keepUp looks at the other processes until the context ends, where any may be seen.
func (d *desk) keepUp(ctx context.Context) {
	if !d.seat.Coordinated() {
		return
	}
	tick := time.NewTicker(look)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			d.look()
		}
	}
}

// look takes over what has changed: the limits are one node's, however many processes it has.
func (d *desk) look() {
	d.mu.Lock()
	defer d.mu.Unlock()
	// Danger: a part that grows before another process has seen that its own is smaller now; both together hold too much.
	if part := d.seat.LimitShare(); part > d.part && d.part > 0 && !d.grows {
		d.grows = true
	} else if d.grows = false; part != d.part {
		d.part = part
		sockets := int(part * float64(d.config.Sockets))
		if d.config.AdminAddress != "" {
			sockets -= places(d.config.Sockets) + 1
		}
		d.descriptors.Resize(sockets)
		debug.SetMemoryLimit(int64(memoryPart * part * float64(d.config.Memory)))
	}
	if !d.owner && !d.leaves && d.seat.AcquireOwnership() {
		d.owner = true
		d.own(true)
	}
	if fresh := d.node.EverListed(d.noted); len(fresh) > 0 && d.seat.RecordListed(fresh) == nil {
		d.noted += len(fresh)
	}
	d.apply()
}

// apply has the node keep the bans that hold now. Under mu.
func (d *desk) apply() {
	bans, err := d.seat.Exclusions()
	fault := ""
	if err != nil {
		fault = err.Error()
	}
	if fault != d.fault && err != nil {
		d.log.Warn().Err(err).Msg("bans stay as they are")
	}
	if d.fault = fault; !slices.Equal(bans, d.bans) {
		d.bans = bans
		d.node.SetExcluded(bans)
		d.log.Info().Strs("executors", bans).Msg("bans")
	}
}

// handOver leaves to another process what one alone may have, if there is one that serves.
// Danger: two processes that both send to the cold push them over; neither knows what the other sent.
func (d *desk) handOver() (taken bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seat.StopServing()
	if d.leaves = d.seat.HasSuccessor(); d.leaves {
		d.own(false)
		d.seat.ReleaseOwnership()
	}
	return d.leaves
}

// outlast waits until this process is the node's last, for a time at most.
// Danger: who runs the node takes the newest process for it. If that one ends first, the others are killed with all that
// they have taken.
func (d *desk) outlast(within time.Duration) {
	tick := time.NewTicker(look)
	defer tick.Stop()
	for enough := time.After(within); d.seat.OtherProcesses() > 0; {
		select {
		case <-enough:
			return
		case <-tick.C:
		}
	}
}

func (d *desk) Ready() bool { return d.server.Ready() }

func (d *desk) Metrics() ([]byte, error) {
	f := d.counters.Snapshot()
	if f.ServersKnown, f.ServersExcluded = d.node.ServerCounts(); d.share != nil {
		f.Fleet = d.share.Status()
	}
	return f.JSON()
}

func (d *desk) Exclude(id string) error { return d.change(id, d.seat.Exclude) }
func (d *desk) Include(id string) error { return d.change(id, d.seat.Include) }

func (d *desk) change(id string, do func(id string) error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply()
	if !slices.Contains(d.bans, id) && !d.node.WasListed(id) && !d.seat.WasListed(id) {
		return fmt.Errorf("no executor %.60q was ever listed", id)
	}
	if err := do(id); err != nil {
		return fmt.Errorf("the ban can't be kept: %w", err)
	}
	d.apply()
	return nil
}

func (d *desk) Evacuate() error { return d.server.Drain() }
func (d *desk) Activate() error { return d.server.Activate() }

// errAlone is said where there is no fleet.
var errAlone = errors.New("this node holds no budgets with others: its configuration has no fleet section that is in force")

func (d *desk) FleetStatus() ([]byte, error) {
	if d.share == nil {
		return nil, errAlone
	}
	f := d.share.Status()
	f.Subset = d.subset.Load()
	return json.Marshal(f)
}

func (d *desk) SetTotal(name, units string) error {
	if d.share == nil {
		return errAlone
	}
	n, err := strconv.ParseInt(units, 10, 64)
	if err != nil {
		return fmt.Errorf("%.20q is not a whole number", units)
	}
	return d.share.SetTotal(name, n)
}
