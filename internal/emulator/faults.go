// SPDX-License-Identifier: Apache-2.0

package emulator

import "slices"

// faultActions begin a fault of each kind, and schedule its end.
var faultActions = map[string]func(w *world, f *Fault){
	"crash":         (*world).crashServers,
	"flap":          (*world).flapServers,
	"hang":          (*world).hangServers,
	"slow":          (*world).slowServers,
	"errors":        (*world).failRequests,
	"deploy":        (*world).deployServers,
	"cut":           (*world).cutZone,
	"loss":          (*world).loseMessages,
	"restart-nodes": (*world).restartNodes,
	"no-discovery":  (*world).silenceDiscovery,
	"burst":         (*world).addBurst,
	"no-granter":    (*world).stopLeader,
	"spoilt":        (*world).spoilRequests,
}

// schedule has a fault begin at its time.
func (w *world) schedule(f *Fault) {
	w.after(int64(f.At), func() { faultActions[f.Kind](w, f) })
}

// endOf calls a function when a fault that begins now is over.
func (w *world) endOf(f *Fault, then func()) { w.after(int64(f.For), then) }

// struck returns the servers that a fault concerns: those of its zone, or a random part of all.
func (w *world) struck(f *Fault) []*executor {
	if f.Zone != "" {
		zone := slices.Index(w.s.Fleet.Zones, f.Zone)
		return slices.DeleteFunc(slices.Clone(w.executors), func(e *executor) bool { return e.zone != zone })
	}
	var out []*executor
	for _, i := range w.pick(len(w.executors), f.Part) {
		out = append(out, w.executors[i])
	}
	return out
}

func (w *world) crashServers(f *Fault) {
	for _, server := range w.struck(f) {
		w.crash(server, int64(f.For))
	}
}

// flapServers has servers crash again and again, each time for half of the period.
func (w *world) flapServers(f *Fault) {
	for _, server := range w.struck(f) {
		for at := int64(0); at < int64(f.For); at += int64(f.Again) {
			w.after(at, func() { w.crash(server, int64(f.Again)/2) })
		}
	}
}

func (w *world) hangServers(f *Fault) {
	for _, server := range w.struck(f) {
		incarnation := server.lives
		server.work()
		server.hung = true
		server.plan()
		w.endOf(f, func() {
			if server.lives == incarnation {
				server.at = w.now
				server.hung = false
				server.fill()
			}
		})
	}
}

func (w *world) slowServers(f *Fault) {
	for _, server := range w.struck(f) {
		setSlowness := func(factor float64) {
			server.work()
			server.slow = factor
			server.plan()
		}
		setSlowness(f.Strength)
		w.endOf(f, func() { setSlowness(0) })
	}
}

func (w *world) failRequests(f *Fault) {
	for _, server := range w.struck(f) {
		server.errors, server.failing = f.Strength, f.Scheme
		w.endOf(f, func() { server.errors, server.failing = 0, "" })
	}
}

// deployServers replaces servers one after another over the fault's time.
func (w *world) deployServers(f *Fault) {
	struck := w.struck(f)
	for i, server := range struck {
		w.after(int64(f.For)*int64(i)/int64(len(struck)), func() { w.swap(server) })
	}
}

// cutZone loses all messages between a zone, the first one if none is named, and the others.
func (w *world) cutZone(f *Fault) {
	cut := max(slices.Index(w.s.Fleet.Zones, f.Zone), 0)
	addCuts := func(count int) {
		for zone := range w.s.Fleet.Zones {
			if zone != cut {
				w.cuts[[2]int{cut, zone}] += count
				w.cuts[[2]int{zone, cut}] += count
			}
		}
	}
	addCuts(1)
	w.endOf(f, func() { addCuts(-1) })
}

func (w *world) loseMessages(f *Fault) {
	w.loss = f.Part
	w.endOf(f, func() { w.loss = 0 })
}

func (w *world) restartNodes(f *Fault) {
	for _, i := range w.pick(len(w.nodes), f.Part) {
		node := w.nodes[i]
		node.kill()
		w.endOf(f, func() { node.start(w.chance.Uint64()) })
	}
}

func (w *world) silenceDiscovery(f *Fault) {
	w.silent = true
	w.endOf(f, func() {
		w.silent = false
		w.spread()
	})
}

func (w *world) addBurst(f *Fault) {
	w.bursts = append(w.bursts, f)
	w.endOf(f, func() {
		w.bursts = slices.DeleteFunc(w.bursts, func(other *Fault) bool { return other == f })
	})
}

// stopLeader leaves leases without a leader.
func (w *world) stopLeader(f *Fault) {
	if leader := w.leader; leader != nil {
		leader.term = nil
		w.endOf(f, leader.elect)
	}
}

// spoilRequests has a part of the requests fail at every server.
func (w *world) spoilRequests(f *Fault) {
	w.spoilt = f.Part
	w.endOf(f, func() { w.spoilt = 0 })
}
