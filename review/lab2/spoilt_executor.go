// SPDX-License-Identifier: Apache-2.0

//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// oneWay is the time that bytes take between the node and an executor, as between two sites.
	oneWay = 1500 * time.Microsecond
	// meanJob is the mean running time of a job.
	meanJob = 25 * time.Millisecond
	// In each busyCycle the jobs of other nodes fill the executor for busyTime.
	busyCycle = 200 * time.Millisecond
	busyTime  = 50 * time.Millisecond
	// spoiltShare is the share of answers that come a second time, between leastLate and mostLate after the
	// first.
	spoiltShare = 0.1
	leastLate   = time.Millisecond
	mostLate    = 8 * time.Millisecond
	// queuedParts bounds the parts of answers that are on their way on one connection.
	queuedParts = 256
)

// spoiltExecutor is an executor whose answers sometimes come a second time.
type spoiltExecutor struct {
	rec      *record
	name     string
	listener net.Listener
	spoils   bool
	started  time.Time

	mu   sync.Mutex
	jobs []string // ids of the jobs that were begun
}

// startSpoiltExecutor starts an executor. offset shifts the times at which it is full.
func startSpoiltExecutor(rec *record, name string, offset time.Duration) (*spoiltExecutor, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &spoiltExecutor{rec: rec, name: name, listener: l, started: time.Now().Add(-offset)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e, nil
}

// endpoint returns the executor's entry in the list.
func (e *spoiltExecutor) endpoint() endpoint {
	return endpoint{ID: e.name, Addr: e.listener.Addr().String(), Zone: zone, Kind: "std", State: "Ready", Weight: 4}
}

// ran returns the ids of the jobs that were begun.
func (e *spoiltExecutor) ran() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.jobs)
}

// full reports whether the jobs of other nodes fill the executor now.
func (e *spoiltExecutor) full() bool { return time.Since(e.started)%busyCycle < busyTime }

// part is a part of an answer that is on its way to the node.
type part struct {
	due  time.Time
	text string
}

// answers sends the answers on one connection in their order, each after oneWay.
type answers struct {
	mu     sync.Mutex
	parts  chan part
	closed bool
}

// send puts a part of an answer on its way.
func (a *answers) send(text string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.closed {
		a.parts <- part{time.Now().Add(oneWay), text}
	}
}

// end ends the sending, also of second answers that are still to come.
func (a *answers) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	close(a.parts)
}

// deliver writes the parts as they arrive at the node. After an error it drops the others.
func (a *answers) deliver(conn net.Conn) {
	var err error
	for p := range a.parts {
		time.Sleep(time.Until(p.due))
		if err == nil {
			_, err = io.WriteString(conn, p.text)
		}
	}
	conn.Close()
}

// serve serves the requests on one connection, one after the other.
func (e *spoiltExecutor) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	out := &answers{parts: make(chan part, queuedParts)}
	defer out.end()
	go out.deliver(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id, err := readJob(request)
		if err != nil {
			return
		}
		time.Sleep(oneWay)
		whole := e.answer(out, id)
		if e.spoils && rand.Float64() < spoiltShare {
			late := leastLate + rand.N(mostLate-leastLate)
			time.AfterFunc(late, func() {
				e.rec.add("executor %s: answers %s a second time, %v late: %.40q", e.name, id, late, whole)
				out.send(whole)
			})
		}
	}
}

// answer turns a job away or runs it, and returns the whole answer.
func (e *spoiltExecutor) answer(out *answers, id string) (whole string) {
	if e.full() {
		e.rec.add("executor %s: is full and turns %s away", e.name, id)
		whole = "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
		out.send(whole)
		return whole
	}
	e.mu.Lock()
	e.jobs = append(e.jobs, id)
	e.mu.Unlock()
	e.rec.add("executor %s: runs %s", e.name, id)
	var sent strings.Builder
	send := func(text string) {
		sent.WriteString(text)
		out.send(text)
	}
	line := func(rest string) string {
		text := fmt.Sprintf("{\"id\":%q,\"from\":%q,%s}\n", id, e.name, rest)
		return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + line(`"state":"started"`))
	time.Sleep(time.Duration(rand.ExpFloat64() * float64(meanJob)))
	send(line(`"state":"done","result":"r"`) + "0\r\n\r\n")
	return sent.String()
}
