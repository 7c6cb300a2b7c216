// SPDX-License-Identifier: Apache-2.0

//go:build review

// Package lab has what the review cases share: the record of a run, the processes of the node, and stand-ins
// for discovery, servers and clients that follow the protocol pages.
package lab

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	RuleHeld   = 0
	RuleBroken = 1
	CannotRun  = 2
)

// Record writes one line for each event of a run, with the time since the start of the run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

// NewRecord creates the record file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// Add writes one line.
func (r *Record) Add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format, values...)
	fmt.Fprintln(r.out)
}

// Say writes one line to the record and to standard output.
func (r *Record) Say(format string, values ...any) {
	r.Add(format, values...)
	fmt.Printf(format+"\n", values...)
}

// Close writes out what is buffered.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

// Trouble reports whether the run includes the disruption. TROUBLE=0 leaves it out.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }
