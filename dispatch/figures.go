// SPDX-License-Identifier: Apache-2.0

package dispatch

// Figures counts the executors of the list, and those of them that a draw leaves out now: what drains, and the sick
// while others remain.
func (d *Dispatcher) Figures() (known, excluded int) {
	sick := 0
	for _, e := range d.fleet {
		switch {
		case e.State != Up:
			excluded++
		case d.sick(e):
			sick++
		}
	}
	if sick+excluded < len(d.fleet) {
		excluded += sick
	}
	return len(d.fleet), excluded
}
