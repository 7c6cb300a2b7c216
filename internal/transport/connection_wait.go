// SPDX-License-Identifier: Apache-2.0

package transport

import "context"

// waitForClientsClosed returns when no client connection is left, or when the context ends.
func (b *ConnectionBudget) waitForClientsClosed(ctx context.Context) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waitUntil(ctx, func() bool { return b.inUse[clientSide] == 0 })
}

// waitForRequests returns when no client's request is left, no client connection that was told to close, and no
// response that may not have been read. No further request is taken from then on: one that were read between the
// last check and the end of the process would get no response. It returns the context's error if requests are left
// unanswered; parts of requests on pending connections do not count.
func (b *ConnectionBudget) waitForRequests(ctx context.Context) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waitUntil(ctx, func() bool { return b.active+b.lingering+b.reclaiming == 0 })
	b.closed = true
	if b.unansweredRequests() > 0 {
		return ctx.Err()
	}
	return nil
}

// unansweredRequests returns the number of whole requests that have no response yet. The caller holds mu.
func (b *ConnectionBudget) unansweredRequests() int {
	count := b.active
	for element := b.pending.Front(); element != nil; element = element.Next() {
		if element.Value.(*clientConn).active {
			count--
		}
	}
	return count
}

// waitUntil returns when done reports true, which is asked after each change, or when the context ends. The caller
// holds mu, which is released while this waits.
func (b *ConnectionBudget) waitUntil(ctx context.Context, done func() bool) {
	stop := context.AfterFunc(ctx, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.changed.Broadcast()
	})
	defer stop()
	for !done() && ctx.Err() == nil {
		b.changed.Wait()
	}
}
