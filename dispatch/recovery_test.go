// SPDX-License-Identifier: Apache-2.0

package dispatch

import "testing"

// TestServiceRecovers: for ten seconds a third comes on top that errs wherever it goes, and clients come again.
// The others are served meanwhile, and five seconds after it is over service is what it was before. Errors must
// not make healthy servers outliers, and canceled attempts that run all the same must not keep the congestion
// up.
func TestServiceRecovers(t *testing.T) {
	for seed := range uint64(4) {
		h := newServiceModel(seed, 5, 16, 6, modelSettings())
		h.work = func() int64 { return 5e7 + int64(h.ExpFloat64()*1.5e8) }
		spoilt := map[*Request]bool{}
		h.fails = func(request *Request, _ int) bool {
			if _, known := spoilt[request]; !known {
				spoilt[request] = h.now > 1e12+10e9 && h.now < 1e12+20e9 && h.IntN(10) < 3
			}
			return spoilt[request]
		}
		full := 16 * 6 / 0.2
		h.advance(10e9, 0.85*full, noKey)
		h.advance(10e9, 1.2*full, noKey)
		h.advance(15e9, 0.85*full, noKey)
		before, during, after := h.servedShare(5, 10), h.servedShare(12, 20)/0.7, h.servedShare(25, 34)
		if after < 0.95*before || before < 0.9 || during < 0.5 {
			t.Errorf("in seed %d: %.2f before, %.2f during, %.2f after", seed, before, during, after)
		}
	}
}

// TestOneLockBehindAll: a quarter of all requests are of one affinity key, or one tenant's, and the lock that
// they need lets a third of them through. The others are served. What waits for the lock must not hold the
// slots of all servers, nor its errors make them outliers.
func TestOneLockBehindAll(t *testing.T) {
	for seed := range uint64(4) {
		settings := modelSettings()
		if seed > 1 {
			settings.Tenants, settings.OverQuotaWeight = []*Tenant{{Quota: 0.375}, {Quota: 0.25}, {Quota: 0.375}}, 1
		}
		settings.Classes[0].LatencyObjective, settings.Classes[0].MaxDeadline = 8e8, 8e9
		h := newServiceModel(seed, 5, 16, 6, settings)
		h.work = func() int64 { return 5e7 + int64(h.ExpFloat64()*1.5e8) }
		full := 16 * 6 / 0.2
		h.lockedKey, h.lockTime = 1, int64(3e9/(0.7*full/4))
		key := func() uint64 {
			if h.IntN(4) == 0 {
				return 1
			}
			return 2 + h.Uint64N(200)/2*3 + h.Uint64N(2) // never the second of three tenants
		}
		h.advance(5e9, 0.75*full, key) // it takes some seconds to be known
		h.missed, h.others = 0, 0
		h.advance(15e9, 0.75*full, key)
		if part := 1 - float64(h.missed)/float64(h.others); part < 0.9 {
			t.Errorf("in seed %d: %.2f of the others are served", seed, part)
		} else {
			t.Logf("%.2f of %d others", part, h.others)
		}
		h.lockedKey = 0 // the lock is gone
		h.advance(10e9, 0.75*full, key)
		if after := h.servedShare(25, 29); after < 0.9 {
			t.Errorf("in seed %d: %.2f are served when it is over", seed, after)
		}
	}
}
