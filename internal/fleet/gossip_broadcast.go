// SPDX-License-Identifier: Apache-2.0

package fleet

import "github.com/hashicorp/memberlist"

// reportBroadcast is one report of a node. It replaces the node's previous report in the queue, even if that
// was not sent yet. It implements memberlist.NamedBroadcast.
type reportBroadcast struct {
	node    string
	payload []byte
}

// Name implements memberlist.NamedBroadcast. The queue keeps one broadcast of each name.
func (b reportBroadcast) Name() string { return b.node }

// Invalidates implements memberlist.Broadcast. The library does not call it for named broadcasts.
func (b reportBroadcast) Invalidates(memberlist.Broadcast) bool { return false }

// Message implements memberlist.Broadcast.
func (b reportBroadcast) Message() []byte { return b.payload }

// Finished implements memberlist.Broadcast.
func (b reportBroadcast) Finished() {}

// broadcast queues a node's report for gossip. Reports that do not fit into the next packets wait, and a
// later report of the same node replaces them, so the number of nodes bounds the queue.
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
