// SPDX-License-Identifier: Apache-2.0

package metrics

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"testing"
)

// TestCountsMatchTally checks after each random step that the counts match a separate tally, and that at the
// end no request is in flight.
func TestCountsMatchTally(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 7))
		names := []string{"status", "full-check", "never"}
		c, want := New(names), map[string]ClassCounts{"status": {}, "full-check": {}, "never": {}}
		type request struct {
			class     int
			recordEnd func(int)
		}
		var inFlight []request
		started, attempts := 0, int64(0)
		for step := 0; step < 400 || len(inFlight) > 0; step++ {
			switch {
			case step < 400 && random.IntN(2) == 0:
				class := random.IntN(2)
				inFlight = append(inFlight, request{class, c.RequestStarted(class)})
				started++
			case random.IntN(3) == 0:
				c.AttemptSent()
				attempts++
			case len(inFlight) > 0:
				index := random.IntN(len(inFlight))
				request := inFlight[index]
				inFlight = append(inFlight[:index], inFlight[index+1:]...)
				status := []int{200, 429, 503, 500, 409, 0}[random.IntN(6)]
				request.recordEnd(status)
				counts := want[names[request.class]]
				switch status {
				case http.StatusOK:
					counts.Served++
				case 429, 503:
					counts.Rejected++
				default:
					counts.Failed++
				}
				want[names[request.class]] = counts
			}
			snapshot := c.Snapshot()
			sum := snapshot.InFlight
			for name, counts := range want {
				if snapshot.Requests[name] != counts {
					t.Fatalf("seed %d: %s: got %+v, want %+v", seed, name, snapshot.Requests[name], counts)
				}
				sum += counts.Served + counts.Rejected + counts.Failed
			}
			if sum != int64(started) || snapshot.InFlight != int64(len(inFlight)) ||
				snapshot.Attempts != attempts {
				t.Fatalf("seed %d: got %+v, want %d requests started, %d in flight, %d attempts",
					seed, snapshot, started, len(inFlight), attempts)
			}
		}
	}
}

// TestJSON checks the outer names, that the encoding is one line, and that classes without requests are
// included.
func TestJSON(t *testing.T) {
	snapshot := New([]string{"status", "full-check"}).Snapshot()
	snapshot.ServersKnown, snapshot.ServersExcluded = 10, 2
	encoded, err := snapshot.JSON()
	want := `{"requests":{"full-check":{"served":0,"refused":0,"failed":0},` +
		`"status":{"served":0,"refused":0,"failed":0}},` +
		`"in_flight":0,"attempts":0,"executors_known":10,"executors_excluded":2}`
	if err != nil || string(encoded) != want || !json.Valid(encoded) {
		t.Errorf("JSON of a new snapshot: got %s, error %v, want %s", encoded, err, want)
	}
}
