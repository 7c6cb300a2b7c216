// SPDX-License-Identifier: Apache-2.0

package metrics

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"testing"
)

// TestEveryRequestEndsOnce: at every step the counts agree with a tally kept beside them, and at rest nothing is in
// flight.
func TestEveryRequestEndsOnce(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 7))
		names := []string{"status", "full-check", "never"}
		c, want := New(names), map[string]ClassCounts{"status": {}, "full-check": {}, "never": {}}
		type request struct {
			class int
			ended func(int)
		}
		var open []request
		started, attempts := 0, int64(0)
		for step := 0; step < 400 || len(open) > 0; step++ {
			switch {
			case step < 400 && random.IntN(2) == 0:
				class := random.IntN(2)
				open = append(open, request{class, c.RequestStarted(class)})
				started++
			case random.IntN(3) == 0:
				c.AttemptSent()
				attempts++
			case len(open) > 0:
				at := random.IntN(len(open))
				r := open[at]
				open = append(open[:at], open[at+1:]...)
				status := []int{200, 429, 503, 500, 409, 0}[random.IntN(6)]
				r.ended(status)
				e := want[names[r.class]]
				switch status {
				case http.StatusOK:
					e.Served++
				case 429, 503:
					e.Rejected++
				default:
					e.Failed++
				}
				want[names[r.class]] = e
			}
			snapshot := c.Snapshot()
			sum := snapshot.InFlight
			for name, e := range want {
				if snapshot.Requests[name] != e {
					t.Fatalf("seed %d: %s is %+v, want %+v", seed, name, snapshot.Requests[name], e)
				}
				sum += e.Served + e.Rejected + e.Failed
			}
			if sum != int64(started) || snapshot.InFlight != int64(len(open)) || snapshot.Attempts != attempts {
				t.Fatalf("seed %d: %+v with %d started, %d open, %d attempts", seed, snapshot, started, len(open), attempts)
			}
		}
	}
}

// TestJSON: the names of the page, one line, and every class from the start.
func TestJSON(t *testing.T) {
	f := New([]string{"status", "full-check"}).Snapshot()
	f.ServersKnown, f.ServersExcluded = 10, 2
	line, err := f.JSON()
	want := `{"requests":{"full-check":{"served":0,"refused":0,"failed":0},` +
		`"status":{"served":0,"refused":0,"failed":0}},` +
		`"in_flight":0,"attempts":0,"executors_known":10,"executors_excluded":2}`
	if err != nil || string(line) != want || !json.Valid(line) {
		t.Errorf("%s, %v", line, err)
	}
}
