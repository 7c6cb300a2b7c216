// SPDX-License-Identifier: Apache-2.0

package admin

import (
	"errors"
	"fmt"
	"strings"
)

// Handler executes operators' commands. Methods must not block. The text of an error is sent as the reply.
type Handler interface {
	// Ready reports whether this process serves clients.
	Ready() bool
	// Metrics returns the metrics of this process as one line of JSON without a newline.
	Metrics() (line []byte, err error)
	// Exclude stops new requests to a server, whatever state discovery reports for it.
	Exclude(id string) error
	// Include ends an exclusion.
	Include(id string) error
	// Evacuate starts a drain of this process's clients.
	Evacuate() error
	// Activate ends a drain.
	Activate() error
	// FleetStatus returns the state of the budgets and nodes as one line of JSON without a newline.
	FleetStatus() (line []byte, err error)
	// SetTotal changes the total of a budget, which all nodes share.
	SetTotal(budget, units string) error
}

// errNotReady is the reply to readyz while the process serves no clients.
var errNotReady = errors.New("this process does not serve clients")

// command is an operators' command.
type command struct {
	arguments int    // required number
	needs     string // the arguments, for the error reply to a line without them
	changes   bool   // the command changes state, and is logged
	// run returns the body of the reply. The reply is OK if the body is nil.
	run func(h Handler, arguments []string) (body []byte, err error)
}

// commandNames lists the commands and their arguments for the error reply to an unknown command.
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

// jsonBody appends the end marker to a line of JSON.
func jsonBody(line []byte, err error) ([]byte, error) {
	return append(line, "\nEND\n"...), err
}

// reply executes a line and returns the reply. A panic of the handler fails only this command.
func (s *Server) reply(line string) (text []byte) {
	defer func() {
		if r := recover(); r != nil {
			s.log.Error().Interface("panic", r).Msg("admin command panicked")
			text = []byte("ERR internal error; the node has logged the reason\n")
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
		return fmt.Appendf(nil, "ERR unknown command %.40q; the commands are %s\n", name, commandNames)
	case len(arguments) < command.arguments:
		return fmt.Appendf(nil, "ERR %s requires %s\n", name, command.needs)
	case len(arguments) > command.arguments:
		return fmt.Appendf(nil, "ERR %s takes %d arguments, got %d\n",
			name, command.arguments, len(arguments))
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
