// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"math"
	"testing"
)

// newLongList is a dispatcher with a list of thousands and one request that nothing was done for yet.
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

// TestDrawConsidersFew: with work that grows with the endpoint list a node with a small share of a core would
// fall behind among thousands of servers.
func TestDrawConsidersFew(t *testing.T) {
	d, _, request := newLongList(t)
	for i, server := range d.servers.all { // an hour in which it used them all
		if i%2 == 0 {
			server.idleUntil = d.now + 1e9
			d.withIdleConnection.add(server)
		}
	}
	if d.draw(request, 1); countConsidered(d) > 2*maxSample {
		t.Errorf("%d servers were considered", countConsidered(d))
	}
	if d.candidates[0].idleUntil == 0 {
		t.Error("one without a connection was drawn")
	}
	for _, server := range d.servers.all { // none has room
		server.limit = 0
	}
	if drawn := d.draw(request, 1); len(drawn) > 0 || countConsidered(d) > 2*maxSample {
		t.Errorf("%d servers were considered in vain", countConsidered(d))
	}
}

// TestLongListDrawsInProportion: each server's chance is in proportion to its weight, in a long list as in a
// short one. The design's draw decides.
func TestLongListDrawsInProportion(t *testing.T) {
	const draws = 40000
	d, _, request := newLongList(t)
	want, all, got := map[int]float64{}, 0.0, map[int]float64{}
	class := func(server *Server) int { return server.scores.sum/scoreWindowSize*2 + int(2*server.reliability.value) }
	for i, server := range d.servers.all {
		server.scores.count, server.scores.sum = scoreWindowSize, scoreWindowSize*[...]int{10, 6, 2, 2}[i%4]
		if i%5 == 0 {
			server.reliability = reliability{0.5, d.now}
		}
		want[class(server)] += d.weight(request, server)
		all += d.weight(request, server)
	}
	for range draws {
		got[class(d.draw(request, 1)[0])]++
	}
	for c, w := range want {
		expected := w / all * draws
		if off := math.Abs(got[c] - expected); off > 4*math.Sqrt(expected)+0.01*expected {
			t.Errorf("class %d: drawn %.0f times in place of %.0f", c, got[c], expected)
		}
	}
}

// TestNarrowChoiceIsFound: a retry that may go to one small group of servers alone finds one of them.
func TestNarrowChoiceIsFound(t *testing.T) {
	d, settings, _ := newLongList(t)
	for i, server := range d.servers.all {
		server.cell = i / 2
	}
	request := &Request{Class: settings.Classes[1], Slots: 1, ExpectedWork: 1e7, Deadline: 1e12 + 3e9}
	d.Arrive(request)
	home := d.servers.all[1001]
	request.Attempts = append(request.Attempts, &Attempt{Request: request, Server: home, sentAt: d.now})
	for range 20 {
		if drawn := d.draw(request, 1); len(drawn) != 1 || drawn[0].cell != home.cell {
			t.Fatalf("%d servers of its group were found", len(drawn))
		}
	}
}

// TestLongListUsesServersInTurn: half of a long list is in slow start, and a random sample seldom meets those
// that this node may send to.
func TestLongListUsesServersInTurn(t *testing.T) {
	d, settings, request := newLongList(t)
	settings.Nodes, d.slowStartOwnerSince, request.size = 300, 0, request.size/2
	var members []Endpoint
	for i, server := range d.servers.all {
		if i%2 == 0 {
			members = append(members, Endpoint{Server: server, StartedAt: d.now - 2e9 - int64(i)*1e6})
		}
	}
	d.UpdateEndpoints(false, members)
	may := 0
	for _, m := range members {
		if d.allowed(request, m.Server) {
			may++
		}
	}
	drawn := d.draw(request, 1)
	if may == 0 || may > 320 || countConsidered(d) > 2*maxSample+may || d.settings.warmUpFactor(drawn[0], d.now) == 1 {
		warm := d.settings.warmUpFactor(drawn[0], d.now)
		t.Errorf("%d may be sent to now, and the one drawn has %v of its capacity", may, warm)
	}
	settings.Nodes = 1 // it is always its turn
	if d.draw(request, 1); countConsidered(d) > 2*maxSample {
		t.Errorf("%d servers were considered, most of them in slow start", countConsidered(d))
	}
	d.UpdateEndpoints(true, members[:10])
	if n := len(d.servers.all) + len(d.withIdleConnection.all) + len(d.inSlowStart.all); n != 20 {
		t.Errorf("%d places are kept for ten servers", n)
	}
}
