// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fernrail/dispatch"
	"fernrail/internal/config"
	"fernrail/internal/fleet"
	"fernrail/internal/routing"
	"fernrail/internal/transport"
)

// purse is what this node may use of the budgets that it holds with others.
type purse struct {
	share       *fleet.Fleet
	descriptors *transport.Descriptors
}

// names are the module's budgets in the configuration's words.
var names = [dispatch.Budgets]string{dispatch.Again: config.Again, dispatch.Connect: config.Connect, dispatch.Cold: config.Cold,
	dispatch.Jobs: config.Jobs, dispatch.Calls: config.Calls}

func (p *purse) May(b dispatch.Budget, key string, units float64) bool {
	switch b {
	case dispatch.Cold:
		units *= p.share.Whole(config.Cold)
	case dispatch.Connect:
		// One that is open and unused costs nothing.
		if p.descriptors.Idle(key) > 0 {
			return true
		}
	}
	return p.share.May(names[b], key, units)
}

func (p *purse) Part(b dispatch.Budget, key string) float64 { return p.share.Part(names[b], key) }

func (p *purse) Charge(executor, tenant string, again bool, cold float64) routing.Charge {
	c := &fleet.Charge{}
	if !again {
		c.First(p.share)
	}
	if !c.Add(p.share, config.Jobs, tenant, 1) || again && !c.Add(p.share, config.Again, "", 1) || cold > 0 && !c.Add(p.share, config.Cold, executor, cold*p.share.Whole(config.Cold)) {
		c.End(false)
		return nil
	}
	return c
}

func (p *purse) Call(overdue bool) bool {
	c := &fleet.Charge{}
	if c.Add(p.share, config.Calls, "", 1) && c.Send() {
		return true
	}
	if overdue {
		p.share.Beyond(config.Calls, "", 1)
	}
	return overdue
}

// dial asks for one new connection, at the moment at which it would be opened.
func (p *purse) dial(address string) bool {
	c := &fleet.Charge{}
	return c.Add(p.share, config.Connect, address, 1) && c.Send()
}
