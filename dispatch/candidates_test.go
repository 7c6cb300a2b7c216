// SPDX-License-Identifier: Apache-2.0

package dispatch

import (
	"math"
	"testing"
)

// longList is a dispatcher with a list of thousands and one request that nothing was done for yet.
func longList(t *testing.T) (*Dispatcher, *Settings, *Request) {
	d, _, terms := stillWorld(3200)
	d.Advance(1e12)
	request := &Request{Class: terms.Classes[0], Slots: 1, ExpectedWork: 1e7, Deadline: 1e12 + 3e9}
	d.Arrive(request)
	return d, terms, request
}

// looked counts the servers that the last draw considered.
func looked(d *Dispatcher) (n int) {
	for _, server := range d.servers.all {
		if server.lastDraw == d.drawCount {
			n++
		}
	}
	return n
}

// Danger: work for each request that grows with the list. A node with a small share of a core falls behind among thousands of
// servers, and what it took is answered too late.
func TestDrawLooksAtFew(t *testing.T) {
	d, _, request := longList(t)
	for i, server := range d.servers.all { // an hour in which it used them all
		if i%2 == 0 {
			server.idleUntil = d.now + 1e9
			d.withIdleConnection.add(server)
		}
	}
	if d.draw(request, 1); looked(d) > 2*maxSample {
		t.Errorf("%d servers were considered", looked(d))
	}
	if d.candidates[0].idleUntil == 0 {
		t.Error("one without a connection was drawn")
	}
	for _, server := range d.servers.all { // none has room
		server.limit = 0
	}
	if drawn := d.draw(request, 1); len(drawn) > 0 || looked(d) > 2*maxSample {
		t.Errorf("%d servers were considered in vain", looked(d))
	}
}

// Each server's chance is in proportion to its weight, in a long list as in a short one. The design's draw decides.
func TestLongListDrawsInProportion(t *testing.T) {
	const draws = 40000
	d, _, request := longList(t)
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

// Danger: a repeat that may go to one small group of servers alone, and finds none of them among those that were looked at.
func TestNarrowChoiceIsFound(t *testing.T) {
	d, terms, _ := longList(t)
	for i, server := range d.servers.all {
		server.cell = i / 2
	}
	request := &Request{Class: terms.Classes[1], Slots: 1, ExpectedWork: 1e7, Deadline: 1e12 + 3e9}
	d.Arrive(request)
	home := d.servers.all[1001]
	request.Attempts = append(request.Attempts, &Attempt{Request: request, Server: home, sentAt: d.now})
	for range 20 {
		if drawn := d.draw(request, 1); len(drawn) != 1 || drawn[0].cell != home.cell {
			t.Fatalf("%d servers of its group were found", len(drawn))
		}
	}
}

// Danger: half of a long list is new and stands empty, since a draw seldom meets those that it is this node's turn at.
func TestLongListUsesServersInTurn(t *testing.T) {
	d, terms, request := longList(t)
	terms.Nodes, d.slowStartOwnerSince, request.size = 300, 0, request.size/2
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
	if may == 0 || may > 320 || looked(d) > 2*maxSample+may || d.settings.warmUpFactor(drawn[0], d.now) == 1 {
		t.Errorf("%d may be sent to now, and the one drawn has warmth %v", may, d.settings.warmUpFactor(drawn[0], d.now))
	}
	terms.Nodes = 1 // it is always its turn
	if d.draw(request, 1); looked(d) > 2*maxSample {
		t.Errorf("%d servers were considered, most of them in slow start", looked(d))
	}
	d.UpdateEndpoints(true, members[:10])
	if n := len(d.servers.all) + len(d.withIdleConnection.all) + len(d.inSlowStart.all); n != 20 {
		t.Errorf("%d places are kept for ten servers", n)
	}
}
