// SPDX-License-Identifier: Apache-2.0

package fleet

import "github.com/hashicorp/memberlist"

// reportBroadcast is one report of a node. It takes the place of that node's report before, whether that was sent or
// not. It implements memberlist.NamedBroadcast.
type reportBroadcast struct {
	node    string
	payload []byte
}

// Name implements memberlist.NamedBroadcast. The queue keeps one broadcast of each name.
func (b reportBroadcast) Name() string { return b.node }

// Invalidates implements memberlist.Broadcast. It is not asked for named broadcasts.
func (b reportBroadcast) Invalidates(memberlist.Broadcast) bool { return false }

// Message implements memberlist.Broadcast.
func (b reportBroadcast) Message() []byte { return b.payload }

// Finished implements memberlist.Broadcast.
func (b reportBroadcast) Finished() {}

// broadcast has gossip carry a node's report. What does not fit into gossip's packets waits, and is replaced by later
// reports of its node, so that the queue is bounded by the number of nodes.
func (m *membership) broadcast(node string, payload []byte) {
	m.broadcasts.QueueBroadcast(reportBroadcast{node: node, payload: payload})
}

// NodeMeta implements memberlist.Delegate.
func (m *membership) NodeMeta(int) []byte { return nil }

// NotifyMsg implements memberlist.Delegate.
func (m *membership) NotifyMsg(payload []byte) { m.onReport(payload) }

// GetBroadcasts implements memberlist.Delegate.
func (m *membership) GetBroadcasts(overhead, limit int) [][]byte {
	return m.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState implements memberlist.Delegate.
func (m *membership) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate.
func (m *membership) MergeRemoteState([]byte, bool) {}
