// SPDX-License-Identifier: Apache-2.0

//go:build review

package lab2

import "time"

// startSingleNode starts a node without others and waits until it is ready.
func startSingleNode(p *platform, d *discovery, settings map[string]any) (node *process, listen string, err error) {
	if listen, err = freeAddress(); err != nil {
		return nil, "", err
	}
	admin, err := freeAddress()
	if err != nil {
		return nil, "", err
	}
	tmp, err := p.tempDir("n0")
	if err != nil {
		return nil, "", err
	}
	config := configuration("n0", listen, admin, d, settings)
	node, err = p.start(processPlan{name: "n0", config: config, admin: admin, tmp: tmp, log: "n0"})
	if err != nil {
		return nil, "", err
	}
	return node, listen, node.awaitReady(10 * time.Second)
}
