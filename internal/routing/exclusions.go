// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"maps"
	"slices"

	"fernrail/dispatch"
)

// SetExcluded replaces the set of excluded servers. The module treats them as draining, in addition to
// those that discovery lists as draining. The exclusion of an id that is not listed takes effect once
// the id is listed.
func (r *Router) SetExcluded(ids []string) {
	r.event(func() {
		previous := r.excluded
		r.excluded = map[string]bool{}
		for _, id := range ids {
			r.excluded[id] = true
		}
		if changes := r.exclusionChanges(previous); len(changes) > 0 {
			r.module.UpdateEndpoints(false, changes)
		}
	})
}

// exclusionChanges returns the listed servers whose exclusion differs from the given previous one, in the
// order of their ids.
func (r *Router) exclusionChanges(previous map[string]bool) (changes []dispatch.Endpoint) {
	for _, id := range slices.Sorted(maps.Keys(r.endpoints)) {
		if previous[id] != r.excluded[id] {
			changes = append(changes, r.moduleEndpoint(r.endpoints[id]))
		}
	}
	return changes
}
