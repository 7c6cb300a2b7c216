// SPDX-License-Identifier: Apache-2.0

package simwire

import (
	"cmp"
	"fmt"
	"runtime/debug"
	"strings"

	"fernrail/dispatch"
	"fernrail/internal/config"
	"fernrail/internal/protocol"
)

// instance is one dispatcher with its lookup tables. It implements dispatch.Actions.
type instance struct {
	name           string
	session        *session
	module         *dispatch.Dispatcher // nil: not started, killed or crashed
	settings       *dispatch.Settings
	loadReportKeys protocol.LoadReportKeys
	servers        map[string]*dispatch.Server
	serversByHash  map[uint32]*dispatch.Server // the same servers, by the hash in messages between nodes
	requests       map[string]*dispatch.Request
	timers         map[int64]func()
	lastToken      int64 // token of the latest timer
	inRound        bool  // part of session.roundInstances
	crashed        bool
}

// handleMessage runs the handler of a message. An instance that has crashed ignores all messages.
func (n *instance) handleMessage(name string, f *fields) error {
	if n.crashed {
		return nil
	}
	handle, known := messageHandlers[name]
	if !known {
		return fmt.Errorf("unknown message %q", name)
	}
	if n.module == nil && name != "NEW_INSTANCE" {
		return fmt.Errorf("%s for %s, which is not running", name, n.name)
	}
	n.step(func() { handle(n, f) })
	return f.err
}

// step runs a step of the dispatcher at the time of the round. A panic is reported as a CRASH action and
// stops only this instance.
func (n *instance) step(run func()) {
	defer func() {
		if r := recover(); r != nil {
			n.crashed = true
			text := fmt.Sprintf("%v | %s", r, debug.Stack())
			n.writeAction("CRASH", "Text", strings.NewReplacer("\n", " | ", "\r", " ", "\t", " ").Replace(text))
		}
	}()
	if n.module != nil {
		n.module.Advance(n.session.now)
	}
	run()
}

func (n *instance) start(f *fields) {
	seed := f.integer("InitSeed")
	settings, err := config.DecodeSettings(f.find)
	if f.err != nil || err != nil {
		f.err = cmp.Or(f.err, err)
		return
	}
	n.servers = map[string]*dispatch.Server{}
	n.serversByHash = map[uint32]*dispatch.Server{}
	n.requests = map[string]*dispatch.Request{}
	n.timers = map[int64]func(){}
	n.settings = settings
	n.loadReportKeys = config.DecodeLoadReportKeys(f.find)
	n.module = dispatch.New(settings, uint64(seed), n, n.session.now)
}

func (n *instance) kill(*fields) {
	n.module = nil
	n.servers = nil
	n.requests = nil
	n.timers = nil
}

// removeIfEnded deletes a request that has its final response and no attempt in flight.
func (n *instance) removeIfEnded(request *dispatch.Request) {
	if !request.Done {
		return
	}
	for _, attempt := range request.Attempts {
		if attempt.InFlight {
			return
		}
	}
	delete(n.requests, request.Tag)
}
