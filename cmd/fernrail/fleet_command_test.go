// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"io"
	"net"
	"os"
	"testing"
)

// replyOnce starts a listener that sends the text as the reply on one connection, and returns its address.
func replyOnce(t *testing.T, text string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		io.ReadFull(c, make([]byte, len("fleet\n")))
		io.WriteString(c, text)
	}()
	return l.Addr().String()
}

// TestFleetCommand checks that a stored reply of a node is printed in the format of release be9205f.
func TestFleetCommand(t *testing.T) {
	reply, err := os.ReadFile("testdata/fleet_status.json")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/fleet_table.txt")
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	command := &fleetCommand{Admin: replyOnce(t, string(reply)+"END\n")}
	if err := command.Run(&out); err != nil {
		t.Fatal(err)
	}
	if out.String() != string(want) {
		t.Errorf("got\n%s\nwant\n%s", out.String(), want)
	}
}

// TestFleetCommandErrors checks that an ERR reply and an incomplete reply give an error with the reason.
func TestFleetCommandErrors(t *testing.T) {
	for reply, want := range map[string]string{
		"ERR no budgets\n": "no budgets",
		`{"epoch":1`:       "incomplete reply from ADDRESS",
	} {
		address := replyOnce(t, reply)
		err := (&fleetCommand{Admin: address}).Run(io.Discard)
		if err == nil || string(bytes.ReplaceAll([]byte(err.Error()), []byte(address), []byte("ADDRESS"))) != want {
			t.Errorf("reply %q: got error %v, want %q", reply, err, want)
		}
	}
}
