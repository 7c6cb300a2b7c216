// SPDX-License-Identifier: Apache-2.0

//go:build review

package lab

import (
	"net"
	"sync"
	"time"
)

// relayQueue is the number of pieces that a relay holds in one direction.
const relayQueue = 1024

// Relay passes connections on to a target, with a delay in each direction, as a network between two places
// does.
type Relay struct {
	target string
	delay  time.Duration
}

// StartRelay listens on a free address and returns it.
func StartRelay(target string, delay time.Duration) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	r := &Relay{target: target, delay: delay}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return l.Addr().String(), nil
}

func (r *Relay) serve(near net.Conn) {
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		near.Close()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { r.pass(near, far) })
	both.Go(func() { r.pass(far, near) })
	both.Wait()
	near.Close()
	far.Close()
}

// piece is what was read at one time; the end of the data if empty.
type piece struct {
	text []byte
	due  time.Time
}

// pass copies one direction. Each piece leaves the delay after it came.
func (r *Relay) pass(from, to net.Conn) {
	pieces := make(chan piece, relayQueue)
	go func() {
		defer close(pieces)
		for {
			text := make([]byte, 16<<10)
			n, err := from.Read(text)
			if n > 0 {
				pieces <- piece{text[:n], time.Now().Add(r.delay)}
			}
			if err != nil {
				pieces <- piece{nil, time.Now().Add(r.delay)}
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if p.text == nil {
			if half, ok := to.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			continue
		}
		if _, err := to.Write(p.text); err != nil {
			from.Close()
		}
	}
}
