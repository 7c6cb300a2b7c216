// SPDX-License-Identifier: Apache-2.0

package main

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// TestNeitherSideStarvesTheOther: operators get their replies within a second while hundreds of clients' connections
// are silent and others work; clients get their answers while hundreds of operators' connections send no whole line
// and others send commands without a pause.
func TestNeitherSideStarvesTheOther(t *testing.T) {
	s := newUpgradedNode(t)
	node := s.startProcess(s.discovery)
	node.waitFor("readyz", 5*time.Second)
	end := s.load(12)
	stall := func(address, text string) {
		for range 300 {
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Error(err)
				return
			}
			t.Cleanup(func() { c.Close() })
			io.WriteString(c, text)
		}
	}
	slowest := time.Duration(0)
	ask := func() {
		for range 20 {
			start := time.Now()
			node.expect("readyz", "OK")
			node.metrics()
			slowest = max(slowest, time.Since(start)/2)
		}
	}
	go stall(s.listener.Addr().String(), "POST /look HTTP/1.1\r\nHost: h")
	ask()
	stall(node.admin, "exclude w")
	ask()
	var calls sync.WaitGroup
	for range 4 {
		calls.Go(callRepeatedly(node))
	}
	calls.Wait()
	if slowest > time.Second {
		t.Errorf("operators waited for %v", slowest)
	}
	if f := node.metrics(); f.ServersExcluded != 0 {
		t.Errorf("half a line was carried out: %+v", f)
	}
	if answered, turnedBack := end(); turnedBack > 0 || answered < 100 {
		t.Errorf("%d answered, %d turned back", answered, turnedBack)
	}
	if used := node.descriptors(); used > nodeSockets {
		t.Errorf("%d descriptors", used)
	}
	node.Process.Kill()
}
