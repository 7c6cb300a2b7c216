// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// TestServiceRecovers checks recovery after ten seconds of additional requests, 30% of the total, that fail
// at every server and are retried by clients. The other requests are served meanwhile, and five seconds
// later the service is as before. Errors must not make healthy servers outliers, and canceled attempts that
// still run must not prolong the congestion.
func TestServiceRecovers(t *testing.T) {
	for seed := range uint64(4) {
		h := newServiceModel(seed, 5, 16, 6, modelSettings())
		h.work = func() int64 { return 5e7 + int64(h.ExpFloat64()*1.5e8) }
		failing := map[*Request]bool{}
		h.fails = func(request *Request, _ int) bool {
			if _, drawn := failing[request]; !drawn {
				failing[request] = h.now > 1e12+10e9 && h.now < 1e12+20e9 && h.IntN(10) < 3
			}
			return failing[request]
		}
		capacity := 16 * 6 / 0.2
		h.advance(10e9, 0.85*capacity, noKey)
		h.advance(10e9, 1.2*capacity, noKey)
		h.advance(15e9, 0.85*capacity, noKey)
		before, during, after := h.servedShare(5, 10), h.servedShare(12, 20)/0.7, h.servedShare(25, 34)
		if after < 0.95*before || before < 0.9 || during < 0.5 {
			t.Errorf(
				"seed %d: served %.2f before, want 0.9; %.2f during, want 0.5; %.2f after, want 95%% of before",
				seed, before, during, after)
		}
	}
}

// TestLockBehindAllServers checks that the other requests are served if a quarter of all requests, of one
// affinity key or tenant, need a lock that admits only a third of them. Requests that wait for the lock must
// not occupy the slots of all servers, nor may their errors make servers outliers.
func TestLockBehindAllServers(t *testing.T) {
	for seed := range uint64(4) {
		settings := modelSettings()
		if seed > 1 {
			settings.Tenants, settings.OverQuotaWeight =
				[]*Tenant{{Quota: 0.375}, {Quota: 0.25}, {Quota: 0.375}}, 1
		}
		settings.Classes[0].LatencyObjective, settings.Classes[0].MaxDeadline = 8e8, 8e9
		h := newServiceModel(seed, 5, 16, 6, settings)
		h.work = func() int64 { return 5e7 + int64(h.ExpFloat64()*1.5e8) }
		capacity := 16 * 6 / 0.2
		h.lockedKey, h.lockTime = 1, int64(3e9/(0.7*capacity/4))
		key := func() uint64 {
			if h.IntN(4) == 0 {
				return 1
			}
			return 2 + h.Uint64N(200)/2*3 + h.Uint64N(2) // never the second of three tenants
		}
		h.advance(5e9, 0.75*capacity, key) // it takes some seconds to detect the key
		h.otherKeysMissed, h.otherKeys = 0, 0
		h.advance(15e9, 0.75*capacity, key)
		if served := 1 - float64(h.otherKeysMissed)/float64(h.otherKeys); served < 0.9 {
			t.Errorf("seed %d: %.2f of the requests of other keys served, want at least 0.9", seed, served)
		} else {
			t.Logf("%.2f of %d requests of other keys served", served, h.otherKeys)
		}
		h.lockedKey = 0 // the lock is no longer needed
		h.advance(10e9, 0.75*capacity, key)
		if after := h.servedShare(25, 29); after < 0.9 {
			t.Errorf("seed %d: %.2f served after the lock was removed, want at least 0.9", seed, after)
		}
	}
}
