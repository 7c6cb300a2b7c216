// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fernrail/internal/config"
	"fernrail/internal/fleet"
	"fernrail/internal/hotrestart"
	"fernrail/internal/routing"
	"fernrail/internal/transport"
)

// processSyncInterval is between two looks at the other processes of this node. An exclusion has to hold in all of
// them within a second.
const processSyncInterval = 100 * time.Millisecond

// heapShare of a process's memory limit is what the Go runtime is told. The rest is for the kernel's part and the
// program.
const heapShare = 0.75

// processCoordinator agrees with the other processes of this node on who uses how much of its limits, who owns what
// one process may hold alone, and which servers are excluded.
type processCoordinator struct {
	config      *config.Node
	router      *routing.Router
	budgets     *fleet.Fleet // nil: no budget is held with other nodes
	connections *transport.ConnectionBudget
	log         zerolog.Logger
	process     *hotrestart.Process

	mu         sync.Mutex // guards what follows
	excluded   []string   // servers excluded by hand, as the router was told
	readError  string     // of the last look at the exclusions; empty: none
	recorded   int        // servers ever listed that the other processes can know of
	limitShare float64    // of the node's limits, what this process may use
	shareGrows bool       // the last look saw a larger limitShare
	owner      bool       // this process holds what one process of a node may hold alone
	handedOver bool       // it has left that to another one
}

// join enters this process among those of the node, and takes over what they share.
func (c *processCoordinator) join(dir string) {
	var err error
	if c.process, err = hotrestart.Join(dir, c.config.Name); err != nil {
		c.log.Warn().Err(err).Str("key", "TMPDIR").Msg("nothing is shared with other processes of this node")
	}
	if c.owner = c.process.AcquireOwnership(); !c.owner {
		c.announceOwnership()
	}
	c.sync()
}

// leave ends this process's part.
func (c *processCoordinator) leave() { c.process.Leave() }

// others returns how many other processes of this node live.
func (c *processCoordinator) others() int { return c.process.OtherProcesses() }

// startServing tells the other processes that this one serves clients.
func (c *processCoordinator) startServing() { c.process.StartServing() }

// announceOwnership tells the router and the fleet whether this process is the owner.
func (c *processCoordinator) announceOwnership() {
	c.router.SetSlowStartOwner(c.owner)
	if c.budgets != nil {
		c.budgets.SetFloorOwner(c.owner)
	}
}

// syncProcesses looks at the other processes until the context ends, unless none can be seen.
func (c *processCoordinator) syncProcesses(ctx context.Context) {
	if !c.process.Coordinated() {
		return
	}
	ticker := time.NewTicker(processSyncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.sync()
		}
	}
}

// sync takes over what other processes have changed.
func (c *processCoordinator) sync() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.syncLimits()
	c.syncOwnership()
	c.recordListed()
	c.syncExclusions()
}

// syncLimits takes this process's share of the node's limits. A larger share is taken at the second look that sees
// it: until then another process may not have seen that its own is smaller now, and both would hold too much. The
// caller holds mu.
func (c *processCoordinator) syncLimits() {
	share := c.process.LimitShare()
	grows := share > c.limitShare && c.limitShare > 0
	if grows && !c.shareGrows {
		c.shareGrows = true
		return
	}
	c.shareGrows = false
	if share == c.limitShare {
		return
	}
	c.limitShare = share
	sockets := int(share * float64(c.config.Sockets))
	if c.config.AdminAddress != "" {
		sockets -= maxAdminConnectionsOf(c.config.Sockets) + 1
	}
	c.connections.Resize(sockets)
	debug.SetMemoryLimit(int64(heapShare * share * float64(c.config.Memory)))
}

// syncOwnership becomes the owner once no other process is, unless this one has handed over. The caller holds mu.
func (c *processCoordinator) syncOwnership() {
	if c.owner || c.handedOver || !c.process.AcquireOwnership() {
		return
	}
	c.owner = true
	c.announceOwnership()
}

// recordListed tells other processes which servers were listed. Where that fails it is tried again at the next look.
// The caller holds mu.
func (c *processCoordinator) recordListed() {
	listed := c.router.EverListed(c.recorded)
	if len(listed) == 0 {
		return
	}
	if err := c.process.RecordListed(listed); err == nil {
		c.recorded += len(listed)
	}
}

// syncExclusions has the router keep the exclusions that hold now. The caller holds mu.
func (c *processCoordinator) syncExclusions() {
	excluded, err := c.process.Exclusions()
	c.logReadError(err)
	if slices.Equal(excluded, c.excluded) {
		return
	}
	c.excluded = excluded
	c.router.SetExcluded(excluded)
	c.log.Info().Strs("executors", excluded).Msg("excluded servers")
}

// logReadError logs an error once, however many looks meet it. The caller holds mu.
func (c *processCoordinator) logReadError(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if err != nil && text != c.readError {
		c.log.Warn().Err(err).Msg("reading the excluded servers failed; keeping the current ones")
	}
	c.readError = text
}

// handOver stops serving and leaves what one process may hold alone to another one that serves, if there is one:
// neither knows what the other sends, and both together would overload servers that are warming up.
func (c *processCoordinator) handOver() (handedOver bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.process.StopServing()
	c.handedOver = c.process.HasSuccessor()
	if c.handedOver {
		c.owner = false
		c.announceOwnership()
		c.process.ReleaseOwnership()
	}
	return c.handedOver
}

// awaitOthers waits until this process is the node's last, for a time at most. The platform takes the newest process
// for the node: if that one ended first, the others would be killed with the requests that they hold.
func (c *processCoordinator) awaitOthers(timeout time.Duration) {
	ticker := time.NewTicker(processSyncInterval)
	defer ticker.Stop()
	expired := time.After(timeout)
	for c.process.OtherProcesses() > 0 {
		select {
		case <-expired:
			return
		case <-ticker.C:
		}
	}
}

// exclude keeps new requests from a server that is or was listed.
func (c *processCoordinator) exclude(id string) error {
	return c.changeExclusion(id, c.process.Exclude)
}

// include ends an exclusion.
func (c *processCoordinator) include(id string) error {
	return c.changeExclusion(id, c.process.Include)
}

// changeExclusion changes whether a server is excluded, and takes over at once what holds then.
func (c *processCoordinator) changeExclusion(id string, change func(id string) error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.syncExclusions()
	if !slices.Contains(c.excluded, id) && !c.router.WasListed(id) && !c.process.WasListed(id) {
		return fmt.Errorf("no executor %.60q was ever listed", id)
	}
	if err := change(id); err != nil {
		return fmt.Errorf("the ban can't be kept: %w", err)
	}
	c.syncExclusions()
	return nil
}
