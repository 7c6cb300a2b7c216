// SPDX-License-Identifier: Apache-2.0

// Package simwire implements the text protocol of the simulator for any number of instances of the
// decision package: it reads batches of lines and writes actions. It maps ids to objects and allocates
// timer tokens; it makes no decisions.
package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"fernrail/dispatch"
)

// Sizes of the buffers, in bytes. The size of a batch grows with the number of nodes and servers.
const (
	inputBufferBytes  = 1 << 20
	outputBufferBytes = 1 << 16
)

var (
	errInputEndsInRound = errors.New("input ends within a round")
	errRoundInRound     = errors.New("ROUND within a round")
	errCommitOutside    = errors.New("COMMIT outside a round")
	errInstanceOutside  = errors.New("ON outside a round")
)

// Serve responds to batches until the input ends. It returns an error with the line number for a line
// that can't be decoded.
func Serve(in io.Reader, out io.Writer) error {
	s := &session{
		in:        bufio.NewReaderSize(in, inputBufferBytes),
		out:       bufio.NewWriterSize(out, outputBufferBytes),
		instances: map[string]*instance{},
	}
	for {
		text, err := s.in.ReadString('\n')
		if err != nil && text == "" {
			return s.endOfInput(err)
		}
		s.lineNumber++
		text = strings.TrimRight(text, "\r\n")
		if text == "" {
			continue
		}
		if err := s.handleLine(text); err != nil {
			return fmt.Errorf("line %d: %w", s.lineNumber, err)
		}
	}
}

// session is the state of one connection to the simulator.
type session struct {
	in             *bufio.Reader
	out            *bufio.Writer
	lineNumber     int
	roundOpen      bool
	now            int64 // time of the round, ns
	batch          string
	instances      map[string]*instance
	current        *instance
	roundInstances []*instance     // instances selected in this round, in the order of selection
	replyInstance  *instance       // instance of the last action in the reply; nil: none
	update         *endpointUpdate // update whose entries are still being read; nil: none
}

// endpointUpdate collects the entries of one UPDATE message.
type endpointUpdate struct {
	remaining int // number of entries that are still to be read
	mode      string
	endpoints []dispatch.Endpoint
}

func (s *session) endOfInput(err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if s.roundOpen {
		return fmt.Errorf("line %d: %w", s.lineNumber, errInputEndsInRound)
	}
	return nil
}

// handleLine handles one line, which is a message to the session or to the current instance.
func (s *session) handleLine(text string) error {
	name, rest, _ := strings.Cut(text, "\t")
	f := &fields{rest: rest, message: name}
	if s.update != nil && name != "ITEM" {
		return fmt.Errorf("%s where %d more list entries are expected", name, s.update.remaining)
	}
	switch name {
	case "ROUND":
		return s.beginRound(f)
	case "COMMIT":
		if !s.roundOpen {
			return errCommitOutside
		}
		return s.commit()
	case "ON":
		return s.selectInstance(f)
	}
	if s.current == nil || !s.roundOpen {
		return fmt.Errorf("%s with no instance selected", name)
	}
	return s.current.handleMessage(name, f)
}

func (s *session) beginRound(f *fields) error {
	if s.roundOpen {
		return errRoundInRound
	}
	s.roundOpen = true
	s.current = nil
	s.now = f.integer("Now")
	s.batch = f.text("batch")
	return f.err
}

func (s *session) selectInstance(f *fields) error {
	name := f.text("Who")
	if f.err != nil {
		return f.err
	}
	if !s.roundOpen {
		return errInstanceOutside
	}
	selected := s.instances[name]
	if selected == nil {
		selected = &instance{name: name, session: s}
		s.instances[name] = selected
	}
	s.current = selected
	if !selected.inRound {
		selected.inRound = true
		s.roundInstances = append(s.roundInstances, selected)
	}
	return nil
}

// commit ends a round: the instances that were selected in it process their queues, and the reply is
// sent.
func (s *session) commit() error {
	for _, member := range s.roundInstances {
		member.inRound = false
		if member.module != nil && !member.crashed {
			member.step(member.module.ProcessQueue)
		}
	}
	s.roundInstances = s.roundInstances[:0]
	s.replyInstance = nil
	s.roundOpen = false
	s.write("YIELD\tbatch=", s.batch, "\n")
	return s.out.Flush()
}

// write appends texts to the reply. A bufio.Writer stores its first error, and the Flush in commit
// returns it.
func (s *session) write(texts ...string) {
	for _, text := range texts {
		_, _ = s.out.WriteString(text)
	}
}
