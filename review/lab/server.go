// SPDX-License-Identifier: Apache-2.0

//go:build review

package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Rejection is the answer of a server that turns a job away without having seen it.
const Rejection = "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"

// Job is one request as a server received it.
type Job struct {
	ID, Class, Path string
	Header          http.Header
	Body            string
}

// Server is a stand-in for a server. It begins each job when its last byte has come, and goes on with it when
// the node closes the connection.
type Server struct {
	Name   string
	record *Record

	// Rejects reports whether the server turns a job away, as it does while its queue is full.
	Rejects func(job Job) bool
	// Runtime is how long a job runs.
	Runtime func(job Job) time.Duration
	// Answered is called after the last byte of an answer was written. It may write more.
	Answered func(c *Conn, job Job, answer string)

	mu   sync.Mutex
	runs map[string]int // number of times that a job was begun, by id
}

// Conn is a connection of the node at a server. Its writes don't mix.
type Conn struct {
	net.Conn
	mu      sync.Mutex
	arrived int  // number of requests that have come
	closed  bool // the node has closed the connection
}

// NewServer returns a server.
func NewServer(name string, record *Record) *Server {
	return &Server{
		Name:     name,
		record:   record,
		Rejects:  func(Job) bool { return false },
		Runtime:  func(Job) time.Duration { return 100 * time.Millisecond },
		Answered: func(*Conn, Job, string) {},
		runs:     map[string]int{},
	}
}

// Serve accepts connections in the background.
func (s *Server) Serve(l net.Listener) {
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serveConn(&Conn{Conn: c})
		}
	}()
}

// Runs returns how often each job was begun.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := map[string]int{}
	for id, count := range s.runs {
		runs[id] = count
	}
	return runs
}

// serveConn serves one request after the other.
func (s *Server) serveConn(c *Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			c.mu.Lock()
			c.closed = true
			c.mu.Unlock()
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		job := Job{
			ID:     request.Header.Get("X-Call-Id"),
			Class:  request.Header.Get("X-Call-Class"),
			Path:   request.URL.Path,
			Header: request.Header,
			Body:   string(body),
		}
		c.mu.Lock()
		c.arrived++
		c.mu.Unlock()
		if !s.serveJob(c, job) {
			return
		}
	}
}

// serveJob answers a job. It returns false if the node has closed the connection.
func (s *Server) serveJob(c *Conn, job Job) bool {
	if job.ID == "" {
		return c.Send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	}
	if s.Rejects(job) {
		s.record.Add("%s: rejected %s %s", s.Name, job.Class, job.ID)
		sent := c.Send(Rejection)
		s.Answered(c, job, Rejection)
		return sent
	}
	s.mu.Lock()
	s.runs[job.ID]++
	s.mu.Unlock()
	s.record.Add("%s: began %s %s", s.Name, job.Class, job.ID)
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
		chunk(fmt.Sprintf(`{"id":%q,"from":%q,"state":"started"}`, job.ID, s.Name))
	c.Send(head)
	time.Sleep(s.Runtime(job))
	s.record.Add("%s: ended %s %s", s.Name, job.Class, job.ID)
	tail := chunk(fmt.Sprintf(`{"id":%q,"from":%q,"state":"done","result":"result of %s"}`,
		job.ID, s.Name, job.ID)) + "0\r\n\r\n"
	sent := c.Send(tail)
	s.Answered(c, job, head+tail)
	return sent
}

// Send writes a text and reports whether that succeeded.
func (c *Conn) Send(text string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := io.WriteString(c.Conn, text)
	return err == nil
}

// SendIfResting writes a text unless a request has come since the given number of them.
func (c *Conn) SendIfResting(text string, arrived int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.arrived != arrived || c.closed {
		return false
	}
	_, err := io.WriteString(c.Conn, text)
	return err == nil
}

// Arrived returns the number of requests that have come.
func (c *Conn) Arrived() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrived
}

// chunk encodes a line as a chunk of a body.
func chunk(line string) string { return fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line) }
