// SPDX-License-Identifier: Apache-2.0

package main

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// TestClientsAndOperatorsDoNotStarveEachOther checks that operators get replies within a second while
// hundreds of client connections stall and others send requests. Clients must get their answers while
// hundreds of admin connections send no complete line and others send commands without pauses.
func TestClientsAndOperatorsDoNotStarveEachOther(t *testing.T) {
	s := newUpgradedNode(t)
	node := s.startProcess(s.discovery)
	node.waitFor("readyz", 5*time.Second)
	stopLoad := s.load(12)
	openStalled := func(address, text string) {
		for range 300 {
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Errorf("connecting to %s failed: %v", address, err)
				return
			}
			t.Cleanup(func() { c.Close() })
			io.WriteString(c, text)
		}
	}
	slowest := time.Duration(0)
	queryNode := func() {
		for range 20 {
			start := time.Now()
			node.expect("readyz", "OK")
			node.metrics()
			slowest = max(slowest, time.Since(start)/2)
		}
	}
	go openStalled(s.listener.Addr().String(), "POST /look HTTP/1.1\r\nHost: h")
	queryNode()
	openStalled(node.admin, "exclude w")
	queryNode()
	var queries sync.WaitGroup
	for range 4 {
		queries.Go(queryRepeatedly(node))
	}
	queries.Wait()
	if slowest > time.Second {
		t.Errorf("slowest admin reply: got %v, want at most 1s", slowest)
	}
	if f := node.metrics(); f.ServersExcluded != 0 {
		t.Errorf("got metrics %+v, want no excluded server: an incomplete line must not be executed", f)
	}
	if answered, refused := stopLoad(); refused > 0 || answered < 100 {
		t.Errorf("got %d requests answered and %d refused, want at least 100 answered and 0 refused",
			answered, refused)
	}
	if descriptors := node.descriptors(); descriptors > nodeSockets {
		t.Errorf("got %d descriptors, want at most %d", descriptors, nodeSockets)
	}
	node.Process.Kill()
}
