// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"math"
	"testing"
)

// newLongList returns a dispatcher with 3200 servers and one request that has arrived but is not assigned.
func newLongList(t *testing.T) (*Dispatcher, *Settings, *Request) {
	d, _, settings := newIdleDispatcher(3200)
	d.Advance(1e12)
	request := &Request{Class: settings.Classes[0], Slots: 1, ExpectedWork: 1e7, Deadline: 1e12 + 3e9}
	d.Arrive(request)
	return d, settings, request
}

// countConsidered counts the servers that the last draw considered.
func countConsidered(d *Dispatcher) (n int) {
	for _, server := range d.servers.all {
		if server.lastDraw == d.drawCount {
			n++
		}
	}
	return n
}

// TestDrawConsidersFew guards against work per draw that grows with the endpoint list. A node with a small
// part of a core would become overloaded with thousands of servers.
func TestDrawConsidersFew(t *testing.T) {
	d, _, request := newLongList(t)
	for i, server := range d.servers.all { // every second server was used recently
		if i%2 == 0 {
			server.idleUntil = d.now + 1e9
			d.withIdleConnection.add(server)
		}
	}
	if d.draw(request, 1); countConsidered(d) > 2*maxSample {
		t.Errorf("draw considered %d servers, want at most %d", countConsidered(d), 2*maxSample)
	}
	if d.candidates[0].idleUntil == 0 {
		t.Error("draw selected a server without an idle connection")
	}
	for _, server := range d.servers.all { // no server has capacity
		server.limit = 0
	}
	if drawn := d.draw(request, 1); len(drawn) > 0 || countConsidered(d) > 2*maxSample {
		t.Errorf(
			"no server has capacity: %d drawn, want 0; %d considered, want at most %d",
			len(drawn), countConsidered(d), 2*maxSample)
	}
}

// TestLongListDrawsInProportion checks that each server's probability is in proportion to its weight in a
// long list, as the design requires and as it is in a short one.
func TestLongListDrawsInProportion(t *testing.T) {
	const draws = 40000
	d, _, request := newLongList(t)
	want, total, got := map[int]float64{}, 0.0, map[int]float64{}
	class := func(server *Server) int { return server.scores.sum/scoreWindowSize*2 + int(2*server.reliability.value) }
	for i, server := range d.servers.all {
		server.scores.count, server.scores.sum = scoreWindowSize, scoreWindowSize*[...]int{10, 6, 2, 2}[i%4]
		if i%5 == 0 {
			server.reliability = reliability{0.5, d.now}
		}
		want[class(server)] += d.weight(request, server)
		total += d.weight(request, server)
	}
	for range draws {
		got[class(d.draw(request, 1)[0])]++
	}
	for c, w := range want {
		expected := w / total * draws
		if deviation := math.Abs(got[c] - expected); deviation > 4*math.Sqrt(expected)+0.01*expected {
			t.Errorf("servers of group %d: drawn %.0f times, want about %.0f", c, got[c], expected)
		}
	}
}

// TestDrawFindsSmallDedupGroup checks that a retry that only a small group of servers may receive finds one
// of that group.
func TestDrawFindsSmallDedupGroup(t *testing.T) {
	d, settings, _ := newLongList(t)
	for i, server := range d.servers.all {
		server.cell = i / 2
	}
	request := &Request{Class: settings.Classes[1], Slots: 1, ExpectedWork: 1e7, Deadline: 1e12 + 3e9}
	d.Arrive(request)
	home := d.servers.all[1001]
	request.Attempts = append(request.Attempts, &Attempt{
		Request: request, Server: home, group: home.dedupGroup(), sentAt: d.now})
	for range 20 {
		if drawn := d.draw(request, 1); len(drawn) != 1 || drawn[0].cell != home.cell {
			t.Fatalf("draw returned %d servers, want 1 of the deduplication group", len(drawn))
		}
	}
}

// TestLongListFindsServersInSlowStartTurn checks a long list of which half is in slow start. A random sample
// rarely contains the few servers to which this node may send at the time.
func TestLongListFindsServersInSlowStartTurn(t *testing.T) {
	d, settings, request := newLongList(t)
	settings.Nodes, d.slowStartOwnerSince, request.size = 300, 0, request.size/2
	var slowStarting []Endpoint
	for i, server := range d.servers.all {
		if i%2 == 0 {
			slowStarting = append(slowStarting,
				Endpoint{Server: server, StartedAt: d.now - 2e9 - int64(i)*1e6})
		}
	}
	d.UpdateEndpoints(false, slowStarting)
	permitted := 0
	for _, m := range slowStarting {
		if d.allowed(request, m.Server) {
			permitted++
		}
	}
	drawn := d.draw(request, 1)
	if permitted == 0 || permitted > 320 || countConsidered(d) > 2*maxSample+permitted ||
		d.settings.warmUpFactor(drawn[0], d.now) == 1 {
		warm := d.settings.warmUpFactor(drawn[0], d.now)
		t.Errorf(
			"%d servers in slow start permitted, want 1 to 320; the drawn one has %v of its capacity, want < 1",
			permitted, warm)
	}
	settings.Nodes = 1 // it is always this node's turn
	if d.draw(request, 1); countConsidered(d) > 2*maxSample {
		t.Errorf("one node: draw considered %d servers, want at most %d", countConsidered(d), 2*maxSample)
	}
	d.UpdateEndpoints(true, slowStarting[:10])
	if n := len(d.servers.all) + len(d.withIdleConnection.all) + len(d.inSlowStart.all); n != 20 {
		t.Errorf("sets have %d entries for 10 servers, want 20", n)
	}
}
