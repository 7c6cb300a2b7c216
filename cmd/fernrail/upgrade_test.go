// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestUpgrades: processes take over from one another on one inherited socket, under load. Each request gets one
// answer, next to none is refused; exclusions given to either hold in both and in the next one; both keep to one
// node's descriptors; a drain on the way harms nothing; and no file is left behind.
func TestUpgrades(t *testing.T) {
	s := newUpgradedNode(t)
	old := s.startProcess(s.discovery)
	old.waitFor("readyz", 5*time.Second)
	old.expect("exclude nobody", "ERR")
	old.expect("include nobody", "ERR")
	end := s.load(12)
	const upgrades = 3
	for round := range upgrades {
		kept, crossed := s.servers[round], s.servers[3+round]
		old.expect("exclude "+kept.name, "OK")
		s.markExcluded(kept, time.Now())
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
		fresh.expect("exclude "+crossed.name, "OK")
		s.markExcluded(crossed, time.Now())
		for start := time.Now(); old.metrics().ServersExcluded < 2; time.Sleep(10 * time.Millisecond) {
			if time.Since(start) > time.Second {
				t.Error("a ban given to the new process does not hold in the old")
				break
			}
		}
		if got := fresh.metrics(); got.ServersExcluded != 2 || got.ServersKnown != 8 {
			t.Errorf("the new process has %+v", got)
		}
		if both := old.descriptors() + fresh.descriptors(); both > nodeSockets {
			t.Errorf("%d descriptors", both)
		}
		old.Process.Signal(syscall.SIGTERM)
		old.expectEnd()
		old = fresh
		if round == 1 {
			old.reload()
		}
		old.expect("exclude w8", []string{"ERR", "OK"}[min(round, 1)]) // listed in the first process's time alone
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
		for _, w := range []*fakeServer{kept, crossed} {
			s.markExcluded(w, time.Time{})
			old.expect("include "+w.name, "OK")
		}
	}
	answered, turnedBack := end()
	t.Logf("%d answered, %d turned back", answered, turnedBack)
	if turnedBack > 2*upgrades || answered < 100 {
		t.Errorf("%d turned back, %d answered", turnedBack, answered)
	}
	s.mu.Lock()
	for id, n := range s.effects {
		if n > 1 {
			t.Errorf("rule 2: %s has had its effect %d times", id, n)
		}
	}
	s.mu.Unlock()
	f := old.metrics()
	if f.InFlight != 0 || f.Attempts == 0 || f.ServersExcluded != 0 {
		t.Errorf("at rest: %+v", f)
	}
	old.Process.Signal(syscall.SIGTERM)
	old.expectEnd()
	left, _ := filepath.Glob(filepath.Join(s.dir, "*"))
	if len(left) != 2 {
		t.Errorf("left behind: %q", left)
	}
}

// TestSuccessorDies: a successor that ends before it is ready, by itself or killed, leaves the old process as it was.
func TestSuccessorDies(t *testing.T) {
	s := newUpgradedNode(t)
	old := s.startProcess(s.discovery)
	old.waitFor("readyz", 5*time.Second)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	end := s.load(4)
	for _, how := range []os.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		fresh := s.startProcess(silent.Addr().String())
		for fresh.command("readyz") == "" { // it is up, and waits for discovery
			time.Sleep(10 * time.Millisecond)
		}
		fresh.expect("readyz", "ERR")
		fresh.expect("evacuate", "ERR")
		fresh.Process.Signal(how)
		<-fresh.ended
		old.expect("readyz", "OK")
	}
	if _, turnedBack := end(); turnedBack > 0 {
		t.Errorf("%d turned back", turnedBack)
	}
	// Where both are told to end, the new one, which the platform takes for the node, is not the first to go.
	fresh := s.startProcess(silent.Addr().String())
	for fresh.command("readyz") == "" {
		time.Sleep(10 * time.Millisecond)
	}
	fresh.Process.Signal(syscall.SIGTERM)
	old.Process.Signal(syscall.SIGTERM)
	old.expectEnd()
	fresh.expectEnd()
	if early := old.endedAt.Sub(fresh.endedAt); early > time.Second {
		t.Errorf("the new process ended %v before the old one", early)
	}
}
