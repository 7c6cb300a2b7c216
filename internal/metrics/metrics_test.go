// SPDX-License-Identifier: Apache-2.0

package metrics

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"testing"
)

// TestEveryJobEndsOnce: at every step the counts agree with a tally kept beside them, and at rest nothing is in flight.
func TestEveryJobEndsOnce(t *testing.T) {
	for seed := range uint64(20) {
		chance := rand.New(rand.NewPCG(seed, 7))
		names := []string{"status", "full-check", "never"}
		c, want := New(names), map[string]ClassCounts{"status": {}, "full-check": {}, "never": {}}
		type job struct {
			scheme int
			ended  func(int)
		}
		var open []job
		taken, attempts := 0, int64(0)
		for step := 0; step < 400 || len(open) > 0; step++ {
			switch {
			case step < 400 && chance.IntN(2) == 0:
				scheme := chance.IntN(2)
				open = append(open, job{scheme, c.RequestStarted(scheme)})
				taken++
			case chance.IntN(3) == 0:
				c.AttemptSent()
				attempts++
			case len(open) > 0:
				at := chance.IntN(len(open))
				j := open[at]
				open = append(open[:at], open[at+1:]...)
				status := []int{200, 429, 503, 500, 409, 0}[chance.IntN(6)]
				j.ended(status)
				e := want[names[j.scheme]]
				switch status {
				case http.StatusOK:
					e.Served++
				case 429, 503:
					e.Rejected++
				default:
					e.Failed++
				}
				want[names[j.scheme]] = e
			}
			f := c.Snapshot()
			sum := f.InFlight
			for name, e := range want {
				if f.Requests[name] != e {
					t.Fatalf("seed %d: %s is %+v, want %+v", seed, name, f.Requests[name], e)
				}
				sum += e.Served + e.Rejected + e.Failed
			}
			if sum != int64(taken) || f.InFlight != int64(len(open)) || f.Attempts != attempts {
				t.Fatalf("seed %d: %+v with %d taken, %d open, %d attempts", seed, f, taken, len(open), attempts)
			}
		}
	}
}

// TestLine: the page's names, one line, and every scheme from the start.
func TestLine(t *testing.T) {
	f := New([]string{"status", "full-check"}).Snapshot()
	f.ServersKnown, f.ServersExcluded = 10, 2
	line, err := f.JSON()
	want := `{"requests":{"full-check":{"served":0,"refused":0,"failed":0},"status":{"served":0,"refused":0,"failed":0}},` +
		`"in_flight":0,"attempts":0,"executors_known":10,"executors_excluded":2}`
	if err != nil || string(line) != want || !json.Valid(line) {
		t.Errorf("%s, %v", line, err)
	}
}
