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

// processSyncInterval is the interval of checks for changes by the other processes of this node. An exclusion
// must apply in all of them within a second.
const processSyncInterval = 100 * time.Millisecond

// heapFraction is the fraction of the process's memory limit that is set as the limit of the Go runtime. The
// rest is for kernel memory and the program itself.
const heapFraction = 0.75

// processCoordinator coordinates this process with the other processes of its node: the division of the
// node's limits, the ownership of what only one process may use, and the excluded servers.
type processCoordinator struct {
	config      *config.Node
	router      *routing.Router
	budgets     *fleet.Fleet // nil: no budgets are shared with other nodes
	connections *transport.ConnectionBudget
	log         zerolog.Logger
	process     *hotrestart.Process

	mu              sync.Mutex // guards the fields below
	excluded        []string   // servers excluded by operators, as last passed to the router
	readError       string     // of the last read of the exclusions; empty: none
	requestIDsError string     // of the last opening of the file of request ids; empty: none
	recorded        int        // number of listed servers already stored for the other processes
	limitShare      float64    // fraction of the node's limits that this process may use
	shareGrows      bool       // the last check found a larger fraction than limitShare
	owner           bool       // this process uses what only one process of a node may use
	handedOver      bool       // this process has passed the ownership to another one
}

// join adds this process to the processes of the node and applies their shared state.
func (c *processCoordinator) join(dir string) {
	var err error
	if c.process, err = hotrestart.Join(dir, c.config.Name); err != nil {
		c.log.Warn().Err(err).Str("key", "TMPDIR").
			Msg("joining the other processes of this node failed; continuing with what can be shared")
	}
	if ids := c.process.RequestIDs(); ids != nil {
		c.router.ShareIDs(ids)
	}
	if c.owner = c.process.AcquireOwnership(); !c.owner {
		c.announceOwnership()
	}
	c.sync()
}

// leave releases the locks of this process.
func (c *processCoordinator) leave() { c.process.Leave() }

// others returns the number of other running processes of this node.
func (c *processCoordinator) others() int { return c.process.OtherProcesses() }

// startServing announces to the other processes that this one serves clients.
func (c *processCoordinator) startServing() { c.process.StartServing() }

// announceOwnership passes to the router and the fleet whether this process is the owner.
func (c *processCoordinator) announceOwnership() {
	c.router.SetSlowStartOwner(c.owner)
	if c.budgets != nil {
		c.budgets.SetFloorOwner(c.owner)
	}
}

// syncProcesses applies changes by other processes until the context ends. It returns at once without a
// shared directory.
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

// sync applies changes by other processes.
func (c *processCoordinator) sync() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.syncLimits()
	c.syncOwnership()
	c.recordListed()
	c.syncExclusions()
	c.syncRequestIDs()
}

// syncLimits applies this process's share of the node's limits. A larger share applies only when a second
// check finds it: until then, another process may not have noticed that its own share is smaller now, and
// both together would exceed the limits. The caller holds mu.
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
	sockets := int(share * float64(c.config.MaxDescriptors))
	if c.config.AdminAddress != "" {
		sockets -= adminConnectionLimit(c.config.MaxDescriptors) + 1
	}
	memory := share * float64(c.config.Memory)
	c.connections.Resize(sockets)
	c.connections.SetMemoryLimit(int(memory))
	debug.SetMemoryLimit(int64(heapFraction * memory))
}

// syncOwnership makes this process the owner if no other one is and this one has not handed over. The caller
// holds mu.
func (c *processCoordinator) syncOwnership() {
	if c.owner || c.handedOver || !c.process.AcquireOwnership() {
		return
	}
	c.owner = true
	c.announceOwnership()
}

// recordListed stores newly listed servers for the other processes. If that fails, the next sync retries it.
// The caller holds mu.
func (c *processCoordinator) recordListed() {
	listed := c.router.ListedIDs(c.recorded)
	if len(listed) == 0 {
		return
	}
	if err := c.process.RecordListed(listed); err == nil {
		c.recorded += len(listed)
	}
}

// syncExclusions passes the current exclusions to the router. The caller holds mu.
func (c *processCoordinator) syncExclusions() {
	excluded, err := c.process.Exclusions()
	c.logReadError(err)
	if slices.Equal(excluded, c.excluded) {
		return
	}
	c.excluded = excluded
	c.router.SetExcluded(excluded)
	c.log.Info().Strs("executors", excluded).Msg("excluded servers changed")
}

// syncRequestIDs opens the file of the reserved request ids again if it could not be used. The caller holds mu.
func (c *processCoordinator) syncRequestIDs() {
	err := c.process.OpenRequestIDs()
	if err != nil && c.requestIDsError == "" {
		c.log.Warn().Err(err).
			Msg("sharing request ids failed; beside another process only idempotent requests are served")
	}
	c.requestIDsError = errorText(err)
}

// errorText returns the text of an error, or "" for none.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// logReadError logs a new read error once, not at each sync. The caller holds mu.
func (c *processCoordinator) logReadError(err error) {
	text := errorText(err)
	if err != nil && text != c.readError {
		c.log.Warn().Err(err).Msg("reading the excluded servers failed; keeping the current ones")
	}
	c.readError = text
}

// handOver marks this process as no longer serving. If another process serves, it also passes the ownership
// on: neither process knows what the other sends, and both together would overload servers in slow start.
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

// awaitOthers waits until this process is the last one of the node, or until the timeout. The platform
// regards the newest process as the node: if that one exited first, the others would be killed with requests
// in flight.
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

// exclude stops new requests to a server that is or was listed.
func (c *processCoordinator) exclude(id string) error {
	return c.changeExclusion(id, c.process.Exclude)
}

// include ends an exclusion.
func (c *processCoordinator) include(id string) error {
	return c.changeExclusion(id, c.process.Include)
}

// changeExclusion excludes or includes a server that is or was listed, and applies the change at once.
func (c *processCoordinator) changeExclusion(id string, change func(id string) error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.syncExclusions()
	if !slices.Contains(c.excluded, id) && !c.router.WasListed(id) && !c.process.WasListed(id) {
		return fmt.Errorf("executor %.60q was never listed", id)
	}
	if err := change(id); err != nil {
		return fmt.Errorf("storing the exclusions failed: %w", err)
	}
	c.syncExclusions()
	return nil
}
