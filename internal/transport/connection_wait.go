// SPDX-License-Identifier: Apache-2.0

package transport

import "context"

// waitForClientsClosed returns when all client connections are closed, or when the context ends.
func (b *ConnectionBudget) waitForClientsClosed(ctx context.Context) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waitUntil(ctx, func() bool { return b.inUse[clientSide] == 0 })
}

// waitForRequests returns when no client connection is active, lingering or being reclaimed, or when the
// context ends. From then on no further request is accepted: a request read between the last check and the
// end of the process would get no response. It returns the context's error if requests are unanswered;
// incomplete requests on pending connections do not count.
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

// unansweredRequests returns the number of complete requests that have no response yet. The caller holds mu.
func (b *ConnectionBudget) unansweredRequests() int {
	count := b.active
	for element := b.pending.Front(); element != nil; element = element.Next() {
		if element.Value.(*clientConn).active {
			count--
		}
	}
	return count
}

// waitUntil returns when done returns true or the context ends. It calls done after each change. The caller
// holds mu, which is released during the wait.
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
