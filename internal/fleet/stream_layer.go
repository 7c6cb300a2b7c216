// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"fernrail/internal/config"
)

const (
	// streamMarker is the first byte of a raft stream. No HTTP request begins with it.
	streamMarker = 0x01
	// maxIDBytes bounds a voter's id in a stream's handshake, where one byte encodes its length.
	maxIDBytes = 255
	// maxUnauthenticated bounds the accepted connections whose peer has not shown the fleet's token yet.
	maxUnauthenticated = 64
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4096
	// acceptRetryInterval is the pause after accepting a connection failed.
	acceptRetryInterval = 100 * time.Millisecond
)

// streamLayer shares one listener between the raft streams of other voters and HTTP calls. A raft stream
// begins with the marker, the fleet's token and the id of the destination voter. Any other connection is
// handled as HTTP. It implements raft.StreamLayer.
type streamLayer struct {
	id         string // of this voter
	cfg        *config.Fleet
	client     *voterClient
	log        zerolog.Logger
	logLimiter *rate.Limiter // of rejected peers
	listener   net.Listener
	raftQueue  *acceptQueue
	httpQueue  *acceptQueue
	handshakes sync.WaitGroup

	unauthenticated connectionLimit // of accepted connections

	mu          sync.Mutex // guards the fields below
	connections map[net.Conn]bool
	closed      bool
}

func newStreamLayer(
	l net.Listener, id string, cfg *config.Fleet, c *voterClient, log zerolog.Logger) *streamLayer {
	return &streamLayer{
		id:          id,
		cfg:         cfg,
		client:      c,
		log:         log,
		logLimiter:  rate.NewLimiter(1, 1),
		listener:    l,
		raftQueue:   newAcceptQueue(voterAddress(id)),
		httpQueue:   newAcceptQueue(l.Addr()),
		connections: map[net.Conn]bool{},

		unauthenticated: connectionLimit{most: maxUnauthenticated},
	}
}

// rejectUnauthenticated logs a rejected peer, at most once per second.
func (s *streamLayer) rejectUnauthenticated(reason string) {
	if s.logLimiter.Allow() {
		s.log.Warn().Str("reason", reason).Msg("rejected unauthenticated peer")
	}
}

// acceptConnections accepts connections until the listener is closed, and waits for their handshakes to end.
func (s *streamLayer) acceptConnections() {
	defer s.handshakes.Wait()
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn().Err(err).Msg("accepting a connection failed; retrying")
			time.Sleep(acceptRetryInterval)
			continue
		}
		admitted := s.unauthenticated.admit(conn)
		s.handshakes.Go(func() { s.handshake(admitted) })
	}
}

// handshake determines the protocol of a connection and passes it to raft or to the HTTP server.
func (s *streamLayer) handshake(admitted *admittedConn) {
	conn := admitted.conn
	if !s.track(conn) {
		s.unauthenticated.remove(admitted)
		return
	}
	conn.SetReadDeadline(time.Now().Add(handshakeTimeout))
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	first, err := reader.Peek(1)
	if err != nil {
		s.unauthenticated.remove(admitted)
		s.drop(conn)
		return
	}
	queue := s.httpQueue
	if first[0] == streamMarker {
		if err := s.readStreamHeader(reader); err != nil {
			s.rejectUnauthenticated(err.Error())
			s.unauthenticated.remove(admitted)
			s.drop(conn)
			return
		}
		s.unauthenticated.remove(admitted)
		queue = s.raftQueue
	}
	conn.SetReadDeadline(time.Time{})
	queue.deliver(&handshakeConn{Conn: conn, reader: reader, layer: s, admitted: admitted})
}

var (
	errStreamToken = errors.New("raft stream without the token of this fleet and protocol version")
	errStreamID    = errors.New("raft stream to a voter id other than the current id of this voter")
)

// readStreamHeader reads the handshake of a raft stream. It rejects a stream to another id, since a voter
// that has lost its state must not take part under its former id.
func (s *streamLayer) readStreamHeader(reader io.Reader) error {
	header := make([]byte, 1+tokenBytes+1) // marker, token and the length of the id
	if _, err := io.ReadFull(reader, header); err != nil ||
		!s.client.isAuthentic(string(header[1:1+tokenBytes])) {
		return errStreamToken
	}
	id := make([]byte, header[1+tokenBytes])
	if _, err := io.ReadFull(reader, id); err != nil || string(id) != s.id {
		return errStreamID
	}
	return nil
}

// streamHeader returns the handshake of a raft stream to a voter.
func (s *streamLayer) streamHeader(id raft.ServerAddress) []byte {
	header := append([]byte{streamMarker}, s.client.token...)
	header = append(header, byte(len(id)))
	return append(header, id...)
}

// track registers a connection until it is closed, so that Close can close it. If the layer is already
// closed, track closes the connection and returns false.
func (s *streamLayer) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		conn.Close()
		return false
	}
	s.connections[conn] = true
	return true
}

func (s *streamLayer) closeConnection(conn net.Conn) error {
	s.mu.Lock()
	delete(s.connections, conn)
	s.mu.Unlock()
	return conn.Close()
}

// drop closes a connection without a response.
func (s *streamLayer) drop(conn net.Conn) {
	_ = s.closeConnection(conn) // the peer detects the end even if closing fails
}

// Dial implements raft.StreamLayer. A voter's raft address is its id.
func (s *streamLayer) Dial(id raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	peer := s.cfg.Voter(nodeName(string(id)))
	if peer == nil || len(id) > maxIDBytes {
		return nil, fmt.Errorf("%q is not a voter of this fleet", id)
	}
	conn, err := net.DialTimeout("tcp", peer.Address, min(timeout, s.cfg.ElectionTimeout))
	if err != nil {
		return nil, err
	}
	if !s.track(conn) {
		return nil, net.ErrClosed
	}
	conn.SetWriteDeadline(time.Now().Add(timeout))
	if _, err := conn.Write(s.streamHeader(id)); err != nil {
		s.drop(conn)
		return nil, err
	}
	conn.SetWriteDeadline(time.Time{})
	return &handshakeConn{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), layer: s}, nil
}

// Accept implements net.Listener for raft.
func (s *streamLayer) Accept() (net.Conn, error) { return s.raftQueue.Accept() }

// Addr implements net.Listener for raft.
func (s *streamLayer) Addr() net.Addr { return voterAddress(s.id) }

// Close closes the listener and all connections.
func (s *streamLayer) Close() error {
	err := s.listener.Close()
	s.raftQueue.close()
	s.httpQueue.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.connections {
		conn.Close()
	}
	return err
}
