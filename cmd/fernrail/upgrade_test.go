// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestUpgrades runs a series of upgrades under load, in which processes take over from one another on one
// inherited socket. Each request must get one answer, with at most two refused connections per upgrade. An
// exclusion at one process must apply in both and in the next one, both processes together must stay within
// one node's descriptors, a drain in between must do no harm, and no temporary file may remain.
func TestUpgrades(t *testing.T) {
	s := newUpgradedNode(t)
	old := s.startProcess(s.discovery)
	old.waitFor("readyz", 5*time.Second)
	old.expect("exclude nobody", "ERR")
	old.expect("include nobody", "ERR")
	stopLoad := s.load(12)
	const upgrades = 3
	for round := range upgrades {
		excludedAtOld, excludedAtNew := s.servers[round], s.servers[3+round]
		old.expect("exclude "+excludedAtOld.name, "OK")
		s.markExcluded(excludedAtOld, time.Now())
		if round == 1 {
			old.expect("evacuate", "OK")
			old.expect("readyz", "ERR")
			old.expect("activate", "OK")
			old.waitFor("readyz", time.Second)
		}
		s.holdConnections(80, fmt.Sprint("old", round))
		fresh := s.startProcess(s.discovery)
		fresh.waitFor("readyz", 6*time.Second)
		s.holdConnections(80, fmt.Sprint("both", round))
		fresh.expect("exclude "+excludedAtNew.name, "OK")
		s.markExcluded(excludedAtNew, time.Now())
		for start := time.Now(); old.metrics().ServersExcluded < 2; time.Sleep(10 * time.Millisecond) {
			if time.Since(start) > time.Second {
				t.Error("an exclusion at the new process does not apply in the old one within 1 s")
				break
			}
		}
		if got := fresh.metrics(); got.ServersExcluded != 2 || got.ServersKnown != 8 {
			t.Errorf("new process: got metrics %+v, want 2 excluded and 8 known servers", got)
		}
		if both := old.descriptors() + fresh.descriptors(); both > nodeSockets {
			t.Errorf("got %d descriptors in both processes, want at most %d", both, nodeSockets)
		}
		old.Process.Signal(syscall.SIGTERM)
		old.expectExit()
		old = fresh
		if round == 1 {
			old.reload()
		}
		old.expect("exclude w8", []string{"ERR", "OK"}[min(round, 1)]) // listed only while an earlier process ran
		old.expect("include w8", []string{"ERR", "OK"}[min(round, 1)])
		if round == 0 {
			s.addServer()
			recorded := ""
			for start := time.Now(); !strings.Contains(recorded, `"w8"`) && time.Since(start) < 3*time.Second; {
				text, _ := os.ReadFile(filepath.Join(s.dir, "fernrail-n1.bans"))
				recorded = string(text)
				time.Sleep(10 * time.Millisecond)
			}
			s.removeServer()
			for start := time.Now(); old.metrics().ServersKnown != 8 && time.Since(start) < 3*time.Second; {
				time.Sleep(10 * time.Millisecond)
			}
		}
		for _, server := range []*fakeServer{excludedAtOld, excludedAtNew} {
			s.markExcluded(server, time.Time{})
			old.expect("include "+server.name, "OK")
		}
	}
	answered, refused := stopLoad()
	t.Logf("%d requests answered, %d refused", answered, refused)
	if refused > 2*upgrades || answered < 100 {
		t.Errorf("got %d requests refused and %d answered, want at most %d and at least 100",
			refused, answered, 2*upgrades)
	}
	s.mu.Lock()
	for id, n := range s.effects {
		if n > 1 {
			t.Errorf("rule 2: request %s took effect %d times, want at most once", id, n)
		}
	}
	s.mu.Unlock()
	f := old.metrics()
	if f.InFlight != 0 || f.Attempts == 0 || f.ServersExcluded != 0 {
		t.Errorf("after the load: got metrics %+v, want attempts, none in flight and no excluded server", f)
	}
	old.Process.Signal(syscall.SIGTERM)
	old.expectExit()
	files, _ := filepath.Glob(filepath.Join(s.dir, "*"))
	for i, name := range files {
		files[i] = filepath.Base(name)
	}
	if want := []string{"fernrail-n1.bans", "fernrail-n1.ids", "fernrail-n1.locks"}; !slices.Equal(files, want) {
		t.Errorf("got files %q, want %q: the exclusions, the request ids and the locks", files, want)
	}
}

// TestSuccessorEndsBeforeReady checks that a successor that is stopped or killed before it is ready does not
// affect the old process.
func TestSuccessorEndsBeforeReady(t *testing.T) {
	s := newUpgradedNode(t)
	old := s.startProcess(s.discovery)
	old.waitFor("readyz", 5*time.Second)
	silentDiscovery, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silentDiscovery.Close()
	stopLoad := s.load(4)
	for _, stopSignal := range []os.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		fresh := s.startProcess(silentDiscovery.Addr().String())
		for fresh.command("readyz") == "" { // until it runs and waits for discovery
			time.Sleep(10 * time.Millisecond)
		}
		fresh.expect("readyz", "ERR")
		fresh.expect("evacuate", "ERR")
		fresh.Process.Signal(stopSignal)
		<-fresh.exited
		old.expect("readyz", "OK")
	}
	if _, refused := stopLoad(); refused > 0 {
		t.Errorf("got %d requests refused, want 0", refused)
	}
	// If both receive a stop signal, the new process, which the platform regards as the node, must not exit
	// first.
	fresh := s.startProcess(silentDiscovery.Addr().String())
	for fresh.command("readyz") == "" {
		time.Sleep(10 * time.Millisecond)
	}
	fresh.Process.Signal(syscall.SIGTERM)
	old.Process.Signal(syscall.SIGTERM)
	old.expectExit()
	fresh.expectExit()
	if lead := old.exitedAt.Sub(fresh.exitedAt); lead > time.Second {
		t.Errorf("the new process exited %v before the old one, want at most 1s", lead)
	}
}
