// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"maps"
	"slices"

	"fernrail/dispatch"
)

// SetExcluded has these executors drain, and no others but those that discovery says do.
func (r *Router) SetExcluded(ids []string) {
	r.event(func() {
		was := r.excluded
		r.excluded = map[string]bool{}
		var changed []dispatch.Endpoint
		for _, id := range ids {
			r.excluded[id] = true
		}
		for _, id := range slices.Sorted(maps.Keys(r.endpoints)) {
			if m := r.endpoints[id]; was[id] != r.excluded[id] {
				changed = append(changed, r.moduleEndpoint(m))
			}
		}
		if len(changed) > 0 {
			r.module.UpdateEndpoints(false, changed)
		}
	})
}
