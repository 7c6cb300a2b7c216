// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"context"

	"fernrail/dispatch"
	"fernrail/internal/protocol"
)

// Follow keeps the list up to date while the module wants that. A call that fails ends the watch; the module says
// when to ask again.
func (n *Node) Follow(ctx context.Context) {
	on, whole := false, true
	for {
		if !on {
			select {
			case on = <-n.watch:
			case <-ctx.Done():
				return
			}
			continue
		}
		select {
		case on = <-n.watch:
			continue
		default:
		}
		var list *protocol.List
		var err error
		if fault := n.guard(func() { list, err = n.lister.Ask(ctx, n.version, whole) }); fault != nil {
			err = fault
		}
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			n.log.Warn().Err(err).Msg("discovery: list kept as it is")
			on = false
			n.event(n.module.ListFailed)
		// Danger: changes to a list that this node does not have. It asks for the whole.
		case !list.Full && list.Version < n.version:
			n.log.Warn().Int64("version", list.Version).Int64("had", n.version).Msg("discovery: went back")
			whole = true
		default:
			whole = false
			n.version = list.Version
			if list.Full || len(list.Entries) > 0 {
				n.log.Info().Int64("version", list.Version).Bool("whole", list.Full).Int("entries", len(list.Entries)).Msg("list")
				n.event(func() { n.listed(list) })
			}
		}
	}
}

// listed hands the list to the module and keeps the addresses.
func (n *Node) listed(l *protocol.List) {
	var members []dispatch.Member
	for _, e := range l.Entries {
		m := n.members[e.ID]
		if m == nil {
			m = &member{executor: &dispatch.Executor{Tag: e.ID}}
			n.members[e.ID] = m
		}
		if e.Address != "" {
			m.address = e.Address
		}
		members = append(members, dispatch.Member{Executor: m.executor, State: e.State, Zone: e.Zone, Kind: e.Kind,
			Cell: e.Cell, Since: e.Started})
	}
	n.module.List(l.Full, members)
	for id, m := range n.members {
		if m.executor.State == dispatch.Gone {
			delete(n.members, id)
		}
	}
}
