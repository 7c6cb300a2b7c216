// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"context"
)

// waitForNoClients waits until no client's connection is left, or there is no more time.
func (d *ConnectionBudget) waitForNoClients(ctx context.Context) {
	defer d.broadcastWhenDone(ctx)()
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.held[clientSide] > 0 && ctx.Err() == nil {
		d.changed.Wait()
	}
}

// broadcastWhenDone ends waits for changes with their context.
func (d *ConnectionBudget) broadcastWhenDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.changed.Broadcast()
	})
}

// waitForRequests waits until no client's request is left, no idle connection, and no answer that may not have been read. Halves of
// requests by strangers are nobody's loss when time is up. Nothing is taken from then on.
// Danger: a request that is read between the last look and the end of the process; it is sent on, and nobody answers it.
func (d *ConnectionBudget) waitForRequests(ctx context.Context) error {
	defer d.broadcastWhenDone(ctx)()
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.active+d.lingering+d.reclaiming > 0 && ctx.Err() == nil {
		d.changed.Wait()
	}
	d.closed = true
	owed := d.active
	for e := d.pending.Front(); e != nil; e = e.Next() {
		if e.Value.(*trackedConn).active {
			owed--
		}
	}
	if owed > 0 {
		return ctx.Err()
	}
	return nil
}
