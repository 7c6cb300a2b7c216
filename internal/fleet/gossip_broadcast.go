// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"github.com/hashicorp/memberlist"
)

// reportBroadcast is one piece of news of a node; it takes the place of the one before, told or not.
type reportBroadcast struct {
	node    string
	payload []byte
}

func (s reportBroadcast) Invalidates(memberlist.Broadcast) bool { return false }

func (s reportBroadcast) Name() string { return s.node }

func (s reportBroadcast) Message() []byte { return s.payload }

func (s reportBroadcast) Finished() {}
