// SPDX-License-Identifier: Apache-2.0

package emulator

import "slices"

// faultActions has the function that starts a fault of each kind and schedules its end.
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
	"no-discovery":  (*world).stopDiscovery,
	"burst":         (*world).addBurst,
	"no-granter":    (*world).stopLeader,
	"spoilt":        (*world).failRequestsEverywhere,
}

// schedule schedules the start of a fault.
func (w *world) schedule(f *Fault) {
	w.after(int64(f.At), func() { faultActions[f.Kind](w, f) })
}

// atEnd schedules a function for the end of a fault that starts now.
func (w *world) atEnd(f *Fault, call func()) { w.after(int64(f.For), call) }

// affectedServers returns the servers that a fault affects: those of its zone, or a random part of all.
func (w *world) affectedServers(f *Fault) []*server {
	if f.Zone != "" {
		zone := slices.Index(w.scenario.Fleet.Zones, f.Zone)
		return slices.DeleteFunc(slices.Clone(w.servers), func(server *server) bool { return server.zone != zone })
	}
	var servers []*server
	for _, i := range w.sampleIndexes(len(w.servers), f.Part) {
		servers = append(servers, w.servers[i])
	}
	return servers
}

// crashServers stops servers; each starts again at the end of the fault.
func (w *world) crashServers(f *Fault) {
	for _, server := range w.affectedServers(f) {
		w.crashServer(server, int64(f.For))
	}
}

// flapServers crashes servers once per interval, each time for half of the interval.
func (w *world) flapServers(f *Fault) {
	for _, server := range w.affectedServers(f) {
		for at := int64(0); at < int64(f.For); at += int64(f.Interval) {
			w.after(at, func() { w.crashServer(server, int64(f.Interval)/2) })
		}
	}
}

// hangServers makes servers hang: new connections get no answer, and jobs make no progress.
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

// slowServers divides the speed of servers by the strength of the fault.
func (w *world) slowServers(f *Fault) {
	for _, server := range w.affectedServers(f) {
		setSlowdown := func(factor float64) {
			server.advance()
			server.slowdown = factor
			server.scheduleStep()
		}
		setSlowdown(f.Strength)
		w.atEnd(f, func() { setSlowdown(0) })
	}
}

// failRequests makes a share of the jobs fail, of one class if the fault names one.
func (w *world) failRequests(f *Fault) {
	for _, server := range w.affectedServers(f) {
		server.errorRate, server.failingClass = f.Strength, f.Class
		w.atEnd(f, func() { server.errorRate, server.failingClass = 0, "" })
	}
}

// deployServers replaces servers one after another, spread evenly over the fault's duration.
func (w *world) deployServers(f *Fault) {
	servers := w.affectedServers(f)
	for i, server := range servers {
		w.after(int64(f.For)*int64(i)/int64(len(servers)), func() { w.replaceServer(server) })
	}
}

// cutZone drops all messages between a zone and the others. Without a zone in the fault it is the first one.
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

// loseMessages drops a part of all messages.
func (w *world) loseMessages(f *Fault) {
	w.messageLoss = f.Part
	w.atEnd(f, func() { w.messageLoss = 0 })
}

// restartNodes kills a part of the nodes; each starts again at the end of the fault.
func (w *world) restartNodes(f *Fault) {
	for _, i := range w.sampleIndexes(len(w.nodes), f.Part) {
		node := w.nodes[i]
		node.kill()
		w.atEnd(f, func() { node.start(w.random.Uint64()) })
	}
}

// stopDiscovery stops all updates from discovery. At the end of the fault it sends the current list.
func (w *world) stopDiscovery(f *Fault) {
	w.discoveryStopped = true
	w.atEnd(f, func() {
		w.discoveryStopped = false
		w.notifyNodes()
	})
}

// addBurst multiplies the request rate, of one tenant if the fault names one.
func (w *world) addBurst(f *Fault) {
	w.bursts = append(w.bursts, f)
	w.atEnd(f, func() {
		w.bursts = slices.DeleteFunc(w.bursts, func(other *Fault) bool { return other == f })
	})
}

// stopLeader stops the leader of the voters; a new term starts at the end of the fault.
func (w *world) stopLeader(f *Fault) {
	if leader := w.leader; leader != nil {
		leader.term = nil
		w.atEnd(f, leader.elect)
	}
}

// failRequestsEverywhere makes a part of the requests fail at every server.
func (w *world) failRequestsEverywhere(f *Fault) {
	w.failingShare = f.Part
	w.atEnd(f, func() { w.failingShare = 0 })
}
