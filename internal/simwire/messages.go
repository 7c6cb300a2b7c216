// SPDX-License-Identifier: Apache-2.0

package simwire

import (
	"encoding/base64"
	"encoding/binary"
	"math"

	"fernrail/dispatch"
)

// messageHandlers maps the name of each message to its handler.
var messageHandlers = map[string]func(n *instance, f *fields){
	"NEW_INSTANCE": (*instance).start,
	"KILL":         (*instance).kill,
	"UPDATE":       (*instance).beginUpdate,
	"ITEM":         (*instance).addEndpoint,
	"ORDER":        (*instance).addRequest,
	"ABANDONED":    (*instance).finishRequest,
	"REPORT_BACK":  (*instance).endAttempt,
	"HINT_UPDATE":  (*instance).reportProgress,
	"WAKE":         (*instance).fireTimer,
	"PROBED":       (*instance).reportCapacity,
	"WHISPER":      (*instance).handlePeerMessage,
	"ACK_FIRST":    func(*instance, *fields) {}, // the adapter uses no streams
}

// The values of the Topic field of HINT_UPDATE.
const (
	topicStarted  = 1
	topicProgress = 2
)

// peerMessageBytes is the length of a message between nodes: one byte for the slots and four bytes for
// the server's hash.
const peerMessageBytes = 5

func (n *instance) beginUpdate(f *fields) {
	mode := f.text("Mode")
	if f.err != nil {
		return
	}
	switch mode {
	case "broken":
		n.module.PollFailed(0, 0)
	case "patch", "whole", "stale_copy":
		update := &endpointUpdate{remaining: int(f.integer("MembersList")), mode: mode}
		if update.remaining > 0 {
			n.session.update = update
		} else {
			n.applyUpdate(update)
		}
	default:
		f.fail("unknown list mode %q", mode)
	}
}

// addEndpoint adds one entry to the current update, and applies the update after its last entry.
func (n *instance) addEndpoint(f *fields) {
	update := n.session.update
	if update == nil {
		f.fail("ITEM outside a list")
		return
	}
	tag, state := f.text("Executor"), f.text("Lifecycle")
	endpoint := dispatch.Endpoint{
		Server:      n.server(tag),
		Zone:        int(f.integerOrZero("Zone")),
		MachineType: int(f.integerOrZero("ClassOfHost")),
		Cell:        int(f.integerOrZero("UnitGroup")),
		StartedAt:   f.integerOrZero("OnlineSince"),
		Capacity:    f.numberOr("Units", 1),
	}
	switch state {
	case "up":
	case "draining":
		endpoint.State = dispatch.Draining
	case "removed":
		endpoint.State = dispatch.Removed
	default:
		f.fail("unknown state %q", state)
	}
	update.endpoints = append(update.endpoints, endpoint)
	update.remaining--
	if update.remaining == 0 && f.err == nil {
		n.session.update = nil
		n.applyUpdate(update)
	}
}

// server returns the server with the given name. It creates a server for an unknown name.
func (n *instance) server(tag string) *dispatch.Server {
	server := n.servers[tag]
	if server == nil {
		server = &dispatch.Server{Tag: tag, Hash: dispatch.HashName(tag)}
		n.servers[tag] = server
		n.serversByHash[uint32(server.Hash)] = server
	}
	return server
}

func (n *instance) applyUpdate(update *endpointUpdate) {
	n.module.UpdateEndpoints(update.mode != "patch", update.endpoints)
	for tag, server := range n.servers {
		if server.State == dispatch.Removed {
			delete(n.servers, tag)
			delete(n.serversByHash, uint32(server.Hash))
		}
	}
}

func (n *instance) addRequest(f *fields) {
	tag, class := f.text("Job"), int(f.integer("Grade"))
	request := &dispatch.Request{
		Tag:          tag,
		Tenant:       int(f.integerOrZero("Tenant")),
		Slots:        f.numberOr("Slots", 1),
		AffinityKey:  uint64(f.integerOrZero("Resource")),
		ExpectedWork: f.integerOrZero("Predicted"),
		Deadline:     f.integer("GiveUpAt"),
	}
	if f.err == nil && (class < 0 || class >= len(n.settings.Classes)) {
		f.fail("no scheme %d in the settings", class)
	}
	tenants := len(n.settings.Tenants)
	if f.err == nil && tenants > 0 && (request.Tenant < 0 || request.Tenant >= tenants) {
		f.fail("no tenant %d in the settings", request.Tenant)
	}
	if f.err != nil {
		return
	}
	request.Class = n.settings.Classes[class]
	n.requests[tag] = request
	n.module.Arrive(request)
	n.removeIfEnded(request)
}

func (n *instance) finishRequest(f *fields) {
	request := n.requests[f.text("Job")]
	if request == nil || f.err != nil {
		return
	}
	n.module.Finish(request)
	n.removeIfEnded(request)
}

// attempt returns the attempt that a message refers to, or nil if it is unknown or already removed.
func (n *instance) attempt(f *fields) *dispatch.Attempt {
	request, number := n.requests[f.text("Job")], f.integer("Trial")
	if request == nil || f.err != nil || number < 0 || number >= int64(len(request.Attempts)) {
		return nil
	}
	return request.Attempts[number]
}

func (n *instance) endAttempt(f *fields) {
	attempt := n.attempt(f)
	outcome := f.outcome()
	duration := f.integerOrZero("TimeTaken")
	requestEnded := f.integerOrZero("Ended") != 0
	if attempt == nil || !attempt.InFlight || f.err != nil {
		return
	}
	attempt.FreeSlots = f.loadReportValue(n.loadReportKeys.FreeSlots)
	n.module.AttemptEnded(attempt, outcome, duration, requestEnded)
	n.removeIfEnded(attempt.Request)
}

func (n *instance) reportProgress(f *fields) {
	attempt, topic := n.attempt(f), f.integer("Topic")
	if attempt == nil || !attempt.InFlight || f.err != nil {
		return
	}
	switch topic {
	case topicStarted:
		n.module.AttemptStarted(attempt)
	case topicProgress:
		n.module.AttemptProgressed(attempt)
	}
}

func (n *instance) fireTimer(f *fields) {
	token := f.integer("Cookie")
	if then := n.timers[token]; then != nil {
		delete(n.timers, token)
		then()
	}
}

// reportCapacity passes the free capacity of a server to the dispatcher. The free slots are 0 if the probe
// failed or the report lacks the value.
func (n *instance) reportCapacity(f *fields) {
	server := n.servers[f.text("Executor")]
	reported := f.text("Status") == "delivered"
	freeSlots := f.loadReportValue(n.loadReportKeys.FreeSlots)
	freeMemory := math.MaxFloat64
	if n.loadReportKeys.FreeMemory != "" {
		freeMemory = f.loadReportValue(n.loadReportKeys.FreeMemory)
	}
	if server == nil || f.err != nil {
		return
	}
	if !reported {
		freeSlots = 0
	}
	n.module.CapacityReported(server, reported, freeSlots, freeMemory)
}

// handlePeerMessage handles a message from another node about slots that it reserved. Malformed messages
// and messages about servers that are not in this node's list are ignored.
func (n *instance) handlePeerMessage(f *fields) {
	message, err := base64.StdEncoding.DecodeString(f.text("Content"))
	if err != nil || len(message) != peerMessageBytes {
		return
	}
	if server := n.serversByHash[binary.BigEndian.Uint32(message[1:])]; server != nil {
		n.module.RecordReservation(server, float64(message[0]))
	}
}
