// SPDX-License-Identifier: Apache-2.0

package simwire

import (
	"encoding/base64"
	"encoding/binary"
	"math"
	"strconv"

	"fernrail/dispatch"
)

// writeAction writes one action of the instance to the reply. fields alternates names and values.
func (n *instance) writeAction(verb string, fields ...string) {
	if n.session.replyInstance != n {
		n.session.replyInstance = n
		n.session.write("AT\tWho=", n.name, "\n")
	}
	n.session.write(verb)
	for i := 0; i < len(fields); i += 2 {
		n.session.write("\t", fields[i], "=", fields[i+1])
	}
	n.session.write("\n")
}

func formatInteger(value int64) string { return strconv.FormatInt(value, 10) }

// StartAttempt implements dispatch.Actions.
func (n *instance) StartAttempt(attempt *dispatch.Attempt) {
	n.writeAction("TRY", "Job", attempt.Request.Tag, "Executor", attempt.Server.Tag,
		"Limit", formatInteger(attempt.Timeout))
}

// CancelAttempt implements dispatch.Actions.
func (n *instance) CancelAttempt(attempt *dispatch.Attempt) {
	n.writeAction("WITHDRAW", "Job", attempt.Request.Tag, "Trial", formatInteger(int64(attempt.Number)))
}

// Shed implements dispatch.Actions.
func (n *instance) Shed(request *dispatch.Request, retryAfter int64) {
	n.writeAction("NOT_NOW", "Job", request.Tag, "RetryIn", formatInteger(retryAfter))
	n.removeIfEnded(request)
}

// Compensate implements dispatch.Actions.
func (n *instance) Compensate(request *dispatch.Request) {
	n.writeAction("ABORT", "Job", request.Tag)
	n.removeIfEnded(request)
}

// Schedule implements dispatch.Actions.
func (n *instance) Schedule(after int64, then func()) (cancel func()) {
	n.lastToken++
	token := n.lastToken
	n.timers[token] = then
	n.writeAction("SET_ALARM", "Cookie", formatInteger(token), "After", formatInteger(max(after, 0)))
	return func() { delete(n.timers, token) }
}

// ProbeCapacity implements dispatch.Actions.
func (n *instance) ProbeCapacity(server *dispatch.Server) {
	n.writeAction("SOUND_OUT", "Executor", server.Tag)
}

// NotifyPeers implements dispatch.Actions: it sends the number of reserved slots and the server's hash to
// all other nodes, in a message of peerMessageBytes.
func (n *instance) NotifyPeers(server *dispatch.Server, slots float64) {
	message := []byte{byte(min(max(slots, 0), math.MaxUint8))}
	message = binary.BigEndian.AppendUint32(message, uint32(server.Hash))
	n.writeAction("SHARE", "Recipient", "*", "Content", base64.StdEncoding.EncodeToString(message))
}

// PollEndpoints implements dispatch.Actions.
func (n *instance) PollEndpoints(on bool) {
	enable := "0"
	if on {
		enable = "1"
	}
	n.writeAction("WATCH", "Enable", enable)
}
