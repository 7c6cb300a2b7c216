// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"context"
	"errors"
	"net"
)

const (
	// maxGossipStreams bounds the incoming streams of gossip that are open at once. The library takes any number, and
	// reads what a peer sends before it checks the peer's key.
	maxGossipStreams = 32
	// maxGossipStreamBytes bounds what is read from one stream. The state of some thousand nodes fits.
	maxGossipStreamBytes = 1 << 20
)

// errGossipStreamTooLong is returned for a stream with more than maxGossipStreamBytes.
var errGossipStreamTooLong = errors.New("gossip stream is too long")

// gossipStreams limits the incoming streams of gossip.
type gossipStreams struct {
	admitted chan net.Conn
	limit    connectionLimit
}

// gossipStream is an incoming stream of gossip.
type gossipStream struct {
	net.Conn
	limit     *connectionLimit
	admitted  *admittedConn
	remaining int // bytes that may still be read
}

// limitGossipStreams admits streams from a channel until the context ends.
func limitGossipStreams(ctx context.Context, incoming <-chan net.Conn) *gossipStreams {
	s := &gossipStreams{admitted: make(chan net.Conn), limit: connectionLimit{most: maxGossipStreams}}
	go s.run(ctx, incoming)
	return s
}

func (s *gossipStreams) run(ctx context.Context, incoming <-chan net.Conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case conn := <-incoming:
			s.deliver(ctx, conn)
		}
	}
}

// deliver admits a stream and passes it on, or closes it if the context ends first.
func (s *gossipStreams) deliver(ctx context.Context, conn net.Conn) {
	stream := &gossipStream{
		Conn:      conn,
		limit:     &s.limit,
		admitted:  s.limit.admit(conn),
		remaining: maxGossipStreamBytes,
	}
	select {
	case s.admitted <- stream:
	case <-ctx.Done():
		_ = stream.Close() // the process no longer gossips
	}
}

// Read reads from the stream up to its limit.
func (c *gossipStream) Read(b []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, errGossipStreamTooLong
	}
	n, err := c.Conn.Read(b[:min(len(b), c.remaining)])
	c.remaining -= n
	return n, err
}

// Close closes the stream.
func (c *gossipStream) Close() error {
	c.limit.remove(c.admitted)
	return c.Conn.Close()
}
