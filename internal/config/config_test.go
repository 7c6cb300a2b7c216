// SPDX-License-Identifier: Apache-2.0

package config

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fernrail/dispatch"
)

// completeFile is a configuration with a value of each kind, and some keys that no release knows.
const completeFile = `{"name":"n1","listen":"127.0.0.1:70","discovery":"127.0.0.2:85","seed":"8c1f",
"news":{"odd":[1,{"a":null}]},
"limits":{"cores":0.5,"memory_mb":192,"sockets":1024},
"known":{"version":4,"full":true,"servers":[
{"id":"s-1","addr":"10.0.0.1:7","zone":"west","kind":"big","cell":3,"state":"Ready","weight":1.5,"started_ms":12}]},
"settings":{"Dcs":["east","west"],"Skus":["small","big"],"Tick":5000000,"Odd":true,
"Limits":{"IdleClose":60000000000,"DialTimeout":120000000,"MostPostings":3,"MayCancel":true},
"Extra":{"ReportX0":"free memory","ReportX1":"free slots","ClassKind":[-1,1],"ClassStretch":[2.5,2.0]},
"Tenants":[{"Name":"acme","Share":0.25}],
"Schemes":[{"Name":"status","SlaTime":100000000,"Expiry":5000000000,"Idempotency":"idempotent"},
{"Name":"pay","SlaTime":200000000,"Expiry":3000000000,"Idempotency":"deduplicated","Group":"cell","MemorySpan":7}]}}`

// noEnvironment is an environment without variables.
func noEnvironment(string) string { return "" }

// environment returns an environment with the given variables.
func environment(variables map[string]string) func(string) string {
	return func(variable string) string { return variables[variable] }
}

// parse decodes the text of a file in the same way as Load.
func parse(text []byte, getenv func(string) string) (*Node, error) {
	parsed, err := parseFile(text)
	if err != nil {
		return nil, err
	}
	return decodeNode(parsed, getenv)
}

// mustParse decodes the text of a file and fails the test on an error.
func mustParse(t *testing.T, text string) *Node {
	t.Helper()
	node, err := parse([]byte(text), noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	return node
}

// checkEqual fails the test unless got equals want.
func checkEqual[T comparable](t *testing.T, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// TestCompleteConfiguration checks the decoded values of a file that has a value of each kind.
func TestCompleteConfiguration(t *testing.T) {
	node := mustParse(t, completeFile)
	checkEqual(t, "name", node.Name, "n1")
	checkEqual(t, "seed", node.Seed, 0x8c1f)
	checkEqual(t, "cores", node.Cores, 0.5)
	checkEqual(t, "memory", node.Memory, 192<<20)
	checkEqual(t, "sockets", node.MaxDescriptors, 1024)
	checkEqual(t, "dial timeout", node.DialTimeout, 120*time.Millisecond)
	checkEqual(t, "idle timeout", node.IdleTimeout, time.Minute)
	checkEqual(t, "longest deadline", node.MaxDeadline, 5*time.Second)
	checkEqual(t, "key of free slots", node.LoadReportKeys.FreeSlots, "x1")
	checkEqual(t, "probe timeout", node.ProbeTimeout, 500*time.Millisecond)

	endpoint := node.InitialEndpoints.Endpoints[0]
	checkEqual(t, "server", endpoint.ID, "s-1")
	checkEqual(t, "server's zone", endpoint.Zone, 1)
	checkEqual(t, "server's machine type", endpoint.MachineType, 1)
	checkEqual(t, "server's start", endpoint.StartedAt, 12e6)

	pay := node.Settings.Classes[1]
	checkEqual(t, "idempotency", pay.Idempotency, dispatch.IdempotentInGroup)
	checkEqual(t, "dedup scope", pay.DedupScope, dispatch.DedupCell)
	checkEqual(t, "dedup window", pay.DedupWindow, 7)
	checkEqual(t, "machine type", pay.MachineType, 1)
	checkEqual(t, "objective per work", pay.ObjectivePerWork, 2)
	checkEqual(t, "tick", node.Settings.Tick, 5e6)
	checkEqual(t, "cancellation allowed", node.Settings.AllowCancel, true)
	checkEqual(t, "hedging allowed", node.Settings.AllowHedging, false)
	checkEqual(t, "tenant's quota", node.Settings.Tenants[0].Quota, 0.25)
}

// TestEnvironmentOverridesFile checks that a variable that is set takes precedence over the file, and that
// the file's value applies if the variable is not set.
func TestEnvironmentOverridesFile(t *testing.T) {
	n, err := parse([]byte(completeFile),
		environment(map[string]string{"EDGE_NAME": "n9", "EDGE_LISTEN": "127.0.0.9:1"}))
	if err != nil || n.Name != "n9" || n.Listen != "127.0.0.9:1" || n.Discovery != "127.0.0.2:85" {
		t.Fatalf("got %+v, error %v; want name n9, client address 127.0.0.9:1, discovery 127.0.0.2:85",
			n, err)
	}
}

// TestErrorsNameTheKey checks that the error for each invalid value begins with the key of that value.
func TestErrorsNameTheKey(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`{"name"`, `["name"`, "configuration: "},
		{`"settings"`, `"setting"`, "settings: missing"},
		{`"seed":"8c1f"`, `"seed":"none"`, "seed: "},
		{`"listen":"127.0.0.1:70"`, `"listen":"here"`, "listen: "},
		{`"memory_mb":192`, `"memory_mb":1`, "limits.memory_mb: "},
		{`"sockets":1024`, `"sockets":"many"`, "limits.sockets: "},
		{`"Schemes"`, `"Scheme"`, "settings.Schemes: "},
		{`"SlaTime":200000000`, `"SlaTime":-1`, "settings.Schemes.1.SlaTime: "},
		{`"SlaTime":200000000,`, ``, "settings.Schemes.1.SlaTime: "},
		{`"Idempotency":"idempotent"`, `"Idempotency":"perhaps"`, "settings.Schemes.0.Idempotency: "},
		{`[2.5,2.0]`, `[2.5,"x"]`, "settings.Extra.ClassStretch: "},
		{`"Share":0.25`, `"Share":"NaN"`, "settings.Tenants.0.Share: "},
		{`"DialTimeout":120000000`, `"DialTimeout":0`, "settings.Limits.DialTimeout: "},
		{`"Tick":5000000`, `"Tick":0`, "settings.Tick: "},
		{`"Odd":true`, `"Weights":"heavy"`, "settings.Weights: "},
		{`"Odd":true`, `"Discovery":"guess"`, "settings.Discovery: "},
		{`"Odd":true`, `"Report":{"Source":"sometimes"}`, "settings.Report.Source: "},
		{`"MayCancel":true`, `"MayProbe":"perhaps"`, "settings.Limits.MayProbe: "},
		{`"MayCancel":true`, `"MayTell":3`, "settings.Limits.MayTell: "},
		{`"sockets":1024`, `"sockets":1024,"probe_ms":0`, "limits.probe_ms: "},
		{`"state":"Ready"`, `"state":"Odd"`, "known: servers.0: unknown state"},
	} {
		text := strings.Replace(completeFile, c.from, c.to, 1)
		if text == completeFile {
			t.Fatalf("the configuration does not contain %s", c.from)
		}
		_, err := parse([]byte(text), noEnvironment)
		checkKeyError(t, c.to, err, c.want)
	}
	_, err := parse([]byte(completeFile), environment(map[string]string{"EDGE_LOG": "loud"}))
	checkKeyError(t, "an unknown log level", err, "EDGE_LOG: ")
	_, err = Load(noEnvironment)
	checkKeyError(t, "EDGE_CONFIG not set", err, "EDGE_CONFIG: ")
	_, err = Load(func(string) string { return filepath.Join(t.TempDir(), "absent") })
	checkKeyError(t, "an absent file", err, "EDGE_CONFIG: ")
	if !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("an absent file: got error %v, want one that wraps fs.ErrNotExist", err)
	}
}

// checkKeyError fails the test unless err is a KeyError whose text begins with both its key and want.
func checkKeyError(t *testing.T, what string, err error, want string) {
	t.Helper()
	var keyError *KeyError
	if !errors.As(err, &keyError) {
		t.Errorf("%s: got error %v, want a KeyError that begins with %q", what, err, want)
		return
	}
	text := err.Error()
	if !strings.HasPrefix(text, keyError.Key+": ") || !strings.HasPrefix(text, want) {
		t.Errorf("%s: got error %q with key %q, want one that begins with its key and with %q",
			what, text, keyError.Key, want)
	}
}

// TestAdminAddress checks that the admin address is optional, that the variable takes precedence over the
// file, and that it must be host:port and differ from the client address.
func TestAdminAddress(t *testing.T) {
	for _, c := range []struct{ file, variable, want, wantError string }{
		{"", "", "", ""},
		{`"admin_addr":"127.0.0.1:15000",`, "", "127.0.0.1:15000", ""},
		{`"admin_addr":"127.0.0.1:15000",`, "127.0.0.1:15001", "127.0.0.1:15001", ""},
		{"", "127.0.0.1:15001", "127.0.0.1:15001", ""},
		{`"admin_addr":"here",`, "", "", "admin_addr: "},
		{"", "15000", "", "EDGE_ADMIN_ADDR: "},
		{"", "10.0.0.4:7070", "", "admin_addr: "},
	} {
		getenv := environment(map[string]string{"EDGE_ADMIN_ADDR": c.variable, "EDGE_LISTEN": "10.0.0.4:7070"})
		n, err := parse([]byte("{"+c.file+completeFile[1:]), getenv)
		if c.wantError != "" {
			checkKeyError(t, c.file+c.variable, err, c.wantError)
		} else if err != nil || n.AdminAddress != c.want {
			t.Errorf("%+v: got node %+v, error %v; want the admin address of the case and no error", c, n, err)
		}
	}
}

// TestInheritedListener checks that EDGE_LISTEN_FD accepts only the descriptor number of a listening socket.
func TestInheritedListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	listener, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	other, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	read := func(fd string) (*Node, error) {
		return parse([]byte(completeFile), environment(map[string]string{"EDGE_LISTEN_FD": fd}))
	}
	if n, err := read(fmt.Sprint(listener.Fd())); err != nil || n.ListenFD != int(listener.Fd()) {
		t.Errorf("descriptor of a listening socket: got node %+v, error %v; want ListenFD %d",
			n, err, listener.Fd())
	}
	for _, fd := range []string{"five", "-1", "0", "1", "99999", fmt.Sprint(other.Fd())} {
		_, err := read(fd)
		checkKeyError(t, fd, err, "EDGE_LISTEN_FD: ")
	}
	if n, err := read(""); err != nil || n.ListenFD != 0 {
		t.Errorf("EDGE_LISTEN_FD not set: got node %+v, error %v; want ListenFD 0", n, err)
	}
}

// TestReloadSkipsServerList checks that a reload decodes the new discovery address and skips the server list.
// Decoding thousands of servers would stall a node that has a small fraction of a core.
func TestReloadSkipsServerList(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	getenv := environment(map[string]string{"EDGE_CONFIG": path})
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(completeFile)
	node, err := Load(getenv)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.NewReplacer("127.0.0.2:85", "127.0.0.3:85", `"addr":"10.0.0.1:7"`, `"addr":"nowhere"`)
	write(changed.Replace(completeFile))
	reloaded, restartKeys, err := node.Reload(getenv)
	if err != nil {
		t.Fatal(err)
	}
	checkEqual(t, "number of keys that need a restart", len(restartKeys), 0)
	checkEqual(t, "discovery", reloaded.Discovery, "127.0.0.3:85")
	checkEqual(t, "number of servers", len(reloaded.InitialEndpoints.Endpoints), 0)
	if _, err := Load(getenv); err == nil {
		t.Error("Load accepted a server with an invalid address")
	}
}
