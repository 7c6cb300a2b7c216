// SPDX-License-Identifier: Apache-2.0

package admin

import (
	"errors"
	"fmt"
	"strings"
)

// Handler carries out the commands of operators. Each method returns at once; its error is the reply.
type Handler interface {
	// Ready reports whether this process serves clients.
	Ready() bool
	// Metrics returns the figures of this process as one line of JSON, without its end.
	Metrics() (line []byte, err error)
	// Exclude keeps new requests from a server, whatever discovery says of it.
	Exclude(id string) error
	// Include ends an exclusion.
	Include(id string) error
	// Evacuate starts a drain of this process's clients.
	Evacuate() error
	// Activate ends a drain.
	Activate() error
	// FleetStatus returns what nodes hold together as one line of JSON, without its end.
	FleetStatus() (line []byte, err error)
	// SetTotal changes what all nodes have of a budget together.
	SetTotal(budget, units string) error
}

// errNotReady is the reply to readyz while the process serves no clients.
var errNotReady = errors.New("this process takes no clients")

// command is one that operators may send, with a number of arguments.
type command struct {
	arguments int
	needs     string // what the arguments are, for a reply to a line that lacks them
	changes   bool   // it changes something, and is logged
	// run returns the body of the reply; nil: OK is the reply.
	run func(h Handler, arguments []string) (body []byte, err error)
}

// commandNames lists the commands as they are written, for the reply to a line that is none.
const commandNames = "readyz, telemetry, exclude ID, include ID, evacuate, activate, fleet, whole BUDGET UNITS"

var commands = map[string]command{
	"readyz": {
		run: func(h Handler, _ []string) ([]byte, error) {
			if !h.Ready() {
				return nil, errNotReady
			}
			return nil, nil
		},
	},
	"telemetry": {
		run: func(h Handler, _ []string) ([]byte, error) { return jsonBody(h.Metrics()) },
	},
	"fleet": {
		run: func(h Handler, _ []string) ([]byte, error) { return jsonBody(h.FleetStatus()) },
	},
	"exclude": {
		arguments: 1,
		needs:     "the id of an executor",
		changes:   true,
		run:       func(h Handler, arguments []string) ([]byte, error) { return nil, h.Exclude(arguments[0]) },
	},
	"include": {
		arguments: 1,
		needs:     "the id of an executor",
		changes:   true,
		run:       func(h Handler, arguments []string) ([]byte, error) { return nil, h.Include(arguments[0]) },
	},
	"evacuate": {
		changes: true,
		run:     func(h Handler, _ []string) ([]byte, error) { return nil, h.Evacuate() },
	},
	"activate": {
		changes: true,
		run:     func(h Handler, _ []string) ([]byte, error) { return nil, h.Activate() },
	},
	"whole": {
		arguments: 2,
		needs:     "a budget and its units",
		changes:   true,
		run: func(h Handler, arguments []string) ([]byte, error) {
			return nil, h.SetTotal(arguments[0], arguments[1])
		},
	},
}

// jsonBody puts the mark of its end after a line of JSON.
func jsonBody(line []byte, err error) ([]byte, error) {
	return append(line, "\nEND\n"...), err
}

// reply carries out a line and returns the reply to it. A panic of the handler fails this one command.
func (s *Server) reply(line string) (text []byte) {
	defer func() {
		if r := recover(); r != nil {
			s.log.Error().Interface("panic", r).Msg("admin command failed")
			text = []byte("ERR the call failed in the node; its log says why\n")
		}
	}()
	words := strings.Fields(line)
	if len(words) == 0 {
		return []byte("ERR the line is empty\n")
	}
	name, arguments := words[0], words[1:]
	command, found := commands[name]
	switch {
	case !found:
		return fmt.Appendf(nil, "ERR %.40q is no call: %s\n", name, commandNames)
	case len(arguments) < command.arguments:
		return fmt.Appendf(nil, "ERR %s needs %s\n", name, command.needs)
	case len(arguments) > command.arguments:
		return fmt.Appendf(nil, "ERR %s takes %d words after it, not %d\n", name, command.arguments, len(arguments))
	}
	body, err := command.run(s.handler, arguments)
	if command.changes {
		s.log.Info().Strs("call", words).AnErr("refused", err).Msg("admin command")
	}
	switch {
	case err != nil:
		return fmt.Appendf(nil, "ERR %s\n", err)
	case body != nil:
		return body
	}
	return []byte("OK\n")
}
