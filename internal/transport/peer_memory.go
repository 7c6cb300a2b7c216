// SPDX-License-Identifier: Apache-2.0

package transport

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"fernrail/internal/metrics"
)

// Division of the process's memory limit. The rest is for the program, its garbage, and the objects of open requests.
const (
	// connectionMemoryFraction is the part for connections: their buffers, goroutines and request heads.
	connectionMemoryFraction = 0.375
	// messageMemoryFraction is the part for bodies of requests, results of servers, and responses.
	messageMemoryFraction = 0.2
	// readAheadMemoryFraction is the part for data that clients send behind a request.
	readAheadMemoryFraction = 0.0625
	// connectionMemory is the memory of a connection without its messages, in bytes.
	connectionMemory = 24 << 10
	// defaultMemoryLimit is the process's memory limit until SetMemoryLimit is called, in bytes.
	defaultMemoryLimit = 192 << 20
)

// peerMemory limits the memory in which a process holds messages of its peers. Bytes are acquired before they are
// read or written. If none are left, the holder of the most bytes that may be evicted loses its bytes, so that a peer
// that makes the process hold much does not displace one that needs little.
type peerMemory struct {
	log zerolog.Logger

	mu        sync.Mutex
	limit     int // bytes
	used      int // bytes
	peak      int // highest value of used
	evictions int
	refusals  int // acquisitions that failed
	holders   map[*memoryHolder]struct{}
}

// memoryHolder is one message that holds memory.
type memoryHolder struct {
	memory *peerMemory
	kind   string // in log lines
	evict  func() // ends the transfer of the message; must not block

	// The fields below are guarded by memory.mu.
	bytes       int
	evictableAt time.Time // when the message may lose its memory; zero: never
	evicted     bool
}

// setLimit sets the limit in bytes. Bytes above a smaller limit stay in use until they are released.
func (m *peerMemory) setLimit(limit int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = limit
}

// hold returns a new holder without memory, which may be evicted from the given time on.
func (m *peerMemory) hold(kind string, evictableAt time.Time, evict func()) *memoryHolder {
	return &memoryHolder{memory: m, kind: kind, evict: evict, evictableAt: evictableAt}
}

// register adds a holder to those that may be evicted. The caller holds mu.
func (m *peerMemory) register(h *memoryHolder) {
	if m.holders == nil {
		m.holders = map[*memoryHolder]struct{}{}
	}
	m.holders[h] = struct{}{}
}

// acquire acquires more bytes and reports whether they were available. It may evict other holders.
func (h *memoryHolder) acquire(bytes int) bool {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	for !h.evicted && m.used+bytes > m.limit {
		victim := m.largestEvictable(h.bytes + bytes)
		if victim == nil || victim == h {
			break
		}
		m.evictHolder(victim)
	}
	if h.evicted || m.used+bytes > m.limit {
		m.refusals++
		return false
	}
	h.add(bytes)
	return true
}

// add adds bytes to a holder. The caller holds memory.mu.
func (h *memoryHolder) add(bytes int) {
	m := h.memory
	m.used += bytes
	m.peak = max(m.peak, m.used)
	h.bytes += bytes
	if !h.evictableAt.IsZero() {
		m.register(h)
	}
}

// largestEvictable returns the evictable holder of the most bytes, or nil if none holds at least the given number.
// The caller holds mu.
func (m *peerMemory) largestEvictable(atLeast int) (largest *memoryHolder) {
	now := time.Now()
	for h := range m.holders {
		evictable := !h.evictableAt.IsZero() && !h.evictableAt.After(now)
		if evictable && h.bytes >= atLeast && (largest == nil || h.bytes > largest.bytes) {
			largest = h
		}
	}
	return largest
}

// evictHolder takes the memory from a holder. The bytes are in use for a moment longer, until the transfer has ended.
// The caller holds mu.
func (m *peerMemory) evictHolder(h *memoryHolder) {
	m.log.Debug().
		Str("kind", h.kind).
		Int("bytes", h.bytes).
		Int("limit", m.limit).
		Msg("message dropped to free memory")
	m.evictions++
	m.used -= h.bytes
	h.bytes = 0
	h.evicted = true
	h.evict()
}

// shrink releases bytes but keeps the holder.
func (h *memoryHolder) shrink(bytes int) {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	bytes = min(bytes, h.bytes)
	h.bytes -= bytes
	h.memory.used -= bytes
}

// wasEvicted reports whether the holder has lost its memory.
func (h *memoryHolder) wasEvicted() bool {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.evicted
}

// protect prevents the eviction of a holder. It returns false if the holder has already been evicted.
func (h *memoryHolder) protect() bool {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.evictableAt = time.Time{}
	return !h.evicted
}

// release releases all bytes and removes the holder.
func (h *memoryHolder) release() {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.used -= h.bytes
	h.bytes = 0
	delete(h.memory.holders, h)
}

// acquireAlways acquires bytes that are already in memory, also above the limit. It evicts other holders as acquire
// does.
func (h *memoryHolder) acquireAlways(bytes int) {
	if h.acquire(bytes) {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.add(bytes)
}

// use returns the current use for operators.
func (m *peerMemory) use() *metrics.MemoryUse {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &metrics.MemoryUse{
		Limit:     m.limit,
		Used:      m.used,
		Peak:      m.peak,
		Evictions: m.evictions,
		Refusals:  m.refusals,
	}
}

// MemoryUse returns the memory used for messages and for data that clients have sent behind their requests.
func (b *ConnectionBudget) MemoryUse() (messages, readAhead *metrics.MemoryUse) {
	return b.messages.use(), b.readAhead.use()
}
