// SPDX-License-Identifier: Apache-2.0

package invariants

import "fmt"

// quota is what a process may use of a budget until a time; 0: without end.
type quota struct{ units, until int64 }

func (q quota) inForce(now int64) bool {
	return q.units > 0 && (q.until == 0 || q.until > now)
}

// holdQuota notes what a process may use from now on, and checks the sum of all quotas in force against the total (rule 5). The sum
// falls by itself where a quota ends; one that grows is reported by an event.
func (c *Checker) holdQuota(e Event) error {
	total, known := c.rules.Totals[e.Budget]
	if !known || e.Node == "" || e.Units < 0 {
		return fmt.Errorf("%d units of budget %q held by %q", e.Units, e.Budget, e.Node)
	}
	byProcess := c.quotas[e.Budget]
	if byProcess == nil {
		byProcess = map[string]quota{}
		c.quotas[e.Budget] = byProcess
	}
	byProcess[e.Node] = quota{e.Units, e.Until}
	sum := int64(0)
	for process, q := range byProcess {
		if !q.inForce(c.now) {
			delete(byProcess, process)
			continue
		}
		sum += q.units
	}
	over := sum > total
	if over && !c.overTotal[e.Budget] {
		c.report(ruleSharedBudgets, "%s: %d units are in force, the total is %d", e.Budget, sum, total)
	}
	c.overTotal[e.Budget] = over
	return nil
}
