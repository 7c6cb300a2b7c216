// SPDX-License-Identifier: Apache-2.0

package invariants

import "fmt"

// quota is the number of units of a budget that a process may use until a time; 0: no expiry.
type quota struct{ units, until int64 }

func (q quota) inForce(now int64) bool {
	return q.units > 0 && (q.until == 0 || q.until > now)
}

// holdQuota records the new quota of a process and checks the sum of all quotas in force against the total
// (rule 5). Checking at these events is enough: the sum grows only by an event, and shrinks without one when
// a quota expires.
func (c *Checker) holdQuota(e Event) error {
	total, known := c.rules.Totals[e.Budget]
	if !known || e.Node == "" || e.Units < 0 {
		return fmt.Errorf("quota of %d units of budget %q for process %q: unknown budget, no process, or below 0 units",
			e.Units, e.Budget, e.Node)
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
		c.report(ruleSharedBudgets, "budget %s: quotas of %d units are in force, above the total of %d",
			e.Budget, sum, total)
	}
	c.overTotal[e.Budget] = over
	return nil
}
