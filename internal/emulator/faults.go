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

// atEnd calls a function when a fault that begins now is over.
func (w *world) atEnd(f *Fault, then func()) { w.after(int64(f.For), then) }

// affectedServers returns the servers that a fault concerns: those of its zone, or a random part of all.
func (w *world) affectedServers(f *Fault) []*server {
	if f.Zone != "" {
		zone := slices.Index(w.scenario.Fleet.Zones, f.Zone)
		return slices.DeleteFunc(slices.Clone(w.servers), func(e *server) bool { return e.zone != zone })
	}
	var out []*server
	for _, i := range w.sampleIndexes(len(w.servers), f.Part) {
		out = append(out, w.servers[i])
	}
	return out
}

func (w *world) crashServers(f *Fault) {
	for _, server := range w.affectedServers(f) {
		w.crashServer(server, int64(f.For))
	}
}

// flapServers has servers crash again and again, each time for half of the period.
func (w *world) flapServers(f *Fault) {
	for _, server := range w.affectedServers(f) {
		for at := int64(0); at < int64(f.For); at += int64(f.Interval) {
			w.after(at, func() { w.crashServer(server, int64(f.Interval)/2) })
		}
	}
}

func (w *world) hangServers(f *Fault) {
	for _, server := range w.affectedServers(f) {
		incarnation := server.incarnation
		server.advance()
		server.hung = true
		server.scheduleStep()
		w.atEnd(f, func() {
			if server.incarnation == incarnation {
				server.advancedUntil = w.now
				server.hung = false
				server.startWaitingJobs()
			}
		})
	}
}

func (w *world) slowServers(f *Fault) {
	for _, server := range w.affectedServers(f) {
		setSlowness := func(factor float64) {
			server.advance()
			server.slowdown = factor
			server.scheduleStep()
		}
		setSlowness(f.Strength)
		w.atEnd(f, func() { setSlowness(0) })
	}
}

func (w *world) failRequests(f *Fault) {
	for _, server := range w.affectedServers(f) {
		server.errorRate, server.failingClass = f.Strength, f.Class
		w.atEnd(f, func() { server.errorRate, server.failingClass = 0, "" })
	}
}

// deployServers replaces servers one after another over the fault's time.
func (w *world) deployServers(f *Fault) {
	struck := w.affectedServers(f)
	for i, server := range struck {
		w.after(int64(f.For)*int64(i)/int64(len(struck)), func() { w.replaceServer(server) })
	}
}

// cutZone loses all messages between a zone, the first one if none is named, and the others.
func (w *world) cutZone(f *Fault) {
	cut := max(slices.Index(w.scenario.Fleet.Zones, f.Zone), 0)
	addCuts := func(count int) {
		for zone := range w.scenario.Fleet.Zones {
			if zone != cut {
				w.cuts[[2]int{cut, zone}] += count
				w.cuts[[2]int{zone, cut}] += count
			}
		}
	}
	addCuts(1)
	w.atEnd(f, func() { addCuts(-1) })
}

func (w *world) loseMessages(f *Fault) {
	w.messageLoss = f.Part
	w.atEnd(f, func() { w.messageLoss = 0 })
}

func (w *world) restartNodes(f *Fault) {
	for _, i := range w.sampleIndexes(len(w.nodes), f.Part) {
		node := w.nodes[i]
		node.kill()
		w.atEnd(f, func() { node.start(w.random.Uint64()) })
	}
}

func (w *world) silenceDiscovery(f *Fault) {
	w.discoveryStopped = true
	w.atEnd(f, func() {
		w.discoveryStopped = false
		w.notifyNodes()
	})
}

func (w *world) addBurst(f *Fault) {
	w.bursts = append(w.bursts, f)
	w.atEnd(f, func() {
		w.bursts = slices.DeleteFunc(w.bursts, func(other *Fault) bool { return other == f })
	})
}

// stopLeader leaves leases without a leader.
func (w *world) stopLeader(f *Fault) {
	if leader := w.leader; leader != nil {
		leader.term = nil
		w.atEnd(f, leader.elect)
	}
}

// spoilRequests has a part of the requests fail at every server.
func (w *world) spoilRequests(f *Fault) {
	w.failingShare = f.Part
	w.atEnd(f, func() { w.failingShare = 0 })
}
