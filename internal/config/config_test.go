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
	"fernrail/internal/protocol"
)

const whole = `{"name":"n1","listen":"127.0.0.1:70","discovery":"127.0.0.2:85","seed":"8c1f","news":{"odd":[1,{"a":null}]},
"limits":{"cores":0.5,"memory_mb":192,"sockets":1024},
"known":{"version":4,"full":true,"servers":[
{"id":"s-1","addr":"10.0.0.1:7","zone":"west","kind":"big","cell":3,"state":"Ready","weight":1.5,"started_ms":12}]},
"settings":{"Dcs":["east","west"],"Skus":["small","big"],"Tick":5000000,"Odd":true,
"Limits":{"IdleClose":60000000000,"DialTimeout":120000000,"MostPostings":3,"MayCancel":true},
"Extra":{"ReportX0":"free memory","ReportX1":"free slots","ClassKind":[-1,1],"ClassStretch":[2.5,2.0]},"Tenants":[{"Name":"acme","Share":0.25}],
"Schemes":[{"Name":"status","SlaTime":100000000,"Expiry":5000000000,"Idempotency":"idempotent"},
{"Name":"pay","SlaTime":200000000,"Expiry":3000000000,"Idempotency":"deduplicated","Group":"cell","MemorySpan":7}]}}`

func nothing(string) string { return "" }

// parse decodes the text of a file, as Load does once it has read one.
func parse(text []byte, getenv func(string) string) (*Node, error) {
	parsed, err := parseFile(text)
	if err != nil {
		return nil, err
	}
	return decodeNode(parsed, getenv)
}

func TestWholeConfiguration(t *testing.T) {
	n, err := parse([]byte(whole), nothing)
	if err != nil {
		t.Fatal(err)
	}
	if n.Name != "n1" || n.Seed != 0x8c1f || n.Cores != 0.5 || n.Memory != 192<<20 || n.Sockets != 1024 ||
		n.DialTimeout != 120*time.Millisecond || n.IdleTimeout != time.Minute || n.MaxDeadline != 5*time.Second || n.LoadReportKeys.FreeSlots != "x1" || n.ProbeTimeout != 500*time.Millisecond {
		t.Errorf("%+v", n)
	}
	if e := n.InitialEndpoints.Endpoints[0]; e.ID != "s-1" || e.Zone != 1 || e.MachineType != 1 || e.Started != 12e6 {
		t.Errorf("%+v", e)
	}
	pay, tick := n.Settings.Classes[1], n.Settings.Tick
	if pay.Idempotency != dispatch.IdempotentInGroup || pay.DedupScope != dispatch.DedupCell || pay.DedupWindow != 7 || pay.MachineType != 1 ||
		pay.ObjectivePerWork != 2 || tick != 5e6 || !n.Settings.AllowCancel || n.Settings.AllowHedging || n.Settings.Tenants[0].Quota != 0.25 {
		t.Errorf("%+v", pay)
	}
}

func TestEnvironmentGoesBeforeTheFile(t *testing.T) {
	n, err := parse([]byte(whole), func(v string) string {
		return map[string]string{"EDGE_NAME": "n9", "EDGE_LISTEN": "127.0.0.9:1"}[v]
	})
	if err != nil || n.Name != "n9" || n.Listen != "127.0.0.9:1" || n.Discovery != "127.0.0.2:85" {
		t.Fatalf("%+v %v", n, err)
	}
}

func TestFaultsNameTheKey(t *testing.T) {
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
		text := strings.Replace(whole, c.from, c.to, 1)
		if text == whole {
			t.Fatalf("%s is not in the text", c.from)
		}
		_, err := parse([]byte(text), nothing)
		checkKeyError(t, c.to, err, c.want)
	}
	_, err := parse([]byte(whole), func(v string) string { return map[string]string{"EDGE_LOG": "loud"}[v] })
	checkKeyError(t, "a level that is none", err, "EDGE_LOG: ")
	_, err = Load(nothing)
	checkKeyError(t, "no file", err, "EDGE_CONFIG: ")
	_, err = Load(func(string) string { return filepath.Join(t.TempDir(), "absent") })
	checkKeyError(t, "an absent file", err, "EDGE_CONFIG: ")
	if !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("an absent file: %v", err)
	}
}

// checkKeyError fails the test unless err is a KeyError, whose text begins with its key and with want.
func checkKeyError(t *testing.T, what string, err error, want string) {
	t.Helper()
	var keyError *KeyError
	if !errors.As(err, &keyError) {
		t.Errorf("%s: %v is no KeyError, want %q", what, err, want)
		return
	}
	text := err.Error()
	if !strings.HasPrefix(text, keyError.Key+": ") || !strings.HasPrefix(text, want) {
		t.Errorf("%s: %q about the key %q, want %q", what, text, keyError.Key, want)
	}
}

// TestAddressOfOperators: there is none unless one is told; it is host:port, and not the clients' own.
func TestAddressOfOperators(t *testing.T) {
	for _, c := range []struct{ file, variable, want, fault string }{
		{"", "", "", ""},
		{`"admin_addr":"127.0.0.1:15000",`, "", "127.0.0.1:15000", ""},
		{`"admin_addr":"127.0.0.1:15000",`, "127.0.0.1:15001", "127.0.0.1:15001", ""},
		{"", "127.0.0.1:15001", "127.0.0.1:15001", ""},
		{`"admin_addr":"here",`, "", "", "admin_addr: "},
		{"", "15000", "", "EDGE_ADMIN_ADDR: "},
		{"", "10.0.0.4:7070", "", "admin_addr: "},
	} {
		n, err := parse([]byte("{"+c.file+whole[1:]), func(v string) string {
			return map[string]string{"EDGE_ADMIN_ADDR": c.variable, "EDGE_LISTEN": "10.0.0.4:7070"}[v]
		})
		if c.fault != "" {
			checkKeyError(t, c.file+c.variable, err, c.fault)
		} else if err != nil || n.AdminAddress != c.want {
			t.Errorf("%+v: %v", c, err)
		}
	}
}

// TestInherited: what is handed over is a number, and the descriptor of a socket that listens.
func TestInherited(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	door, err := l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer door.Close()
	other, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	read := func(fd string) (*Node, error) {
		return parse([]byte(whole), func(v string) string { return map[string]string{"EDGE_LISTEN_FD": fd}[v] })
	}
	if n, err := read(fmt.Sprint(door.Fd())); err != nil || n.ListenFD != int(door.Fd()) {
		t.Error(err)
	}
	for _, fd := range []string{"five", "-1", "0", "1", "99999", fmt.Sprint(other.Fd())} {
		_, err := read(fd)
		checkKeyError(t, fd, err, "EDGE_LISTEN_FD: ")
	}
	if n, err := read(""); err != nil || n.ListenFD != 0 {
		t.Error(err)
	}
}

// TestSlowConnections: a connection that comes up when a drain's grace is over is none that a posting may go out on.
func TestSlowConnections(t *testing.T) {
	text := strings.Replace(whole, `"Odd":true`, `"Rules":{"DrainGrace":100000000}`, 1)
	n, err := parse([]byte(text), nothing)
	if err != nil || n.DialTimeout > 50*time.Millisecond {
		t.Errorf("%v %v", n.DialTimeout, err)
	}
	// What discovery's agent has counts as told without a call, and what waits for a connection goes out later still.
	if n.Settings.UnpolledEventAge != 0 || n.Settings.MaxPollInterval != int64(protocol.PollRetryInterval) || n.Settings.DrainGrace+int64(n.DialTimeout) > 100e6 {
		t.Errorf("%d ns may pass without a call, %d ns after news", n.Settings.UnpolledEventAge, n.Settings.DrainGrace)
	}
}

// TestNewShape: what the settings of the new deployments say reaches the module; messages, which sockets have no
// protocol for, do not. Without these keys nothing of it is on.
func TestNewShape(t *testing.T) {
	text := strings.NewReplacer(`"Odd":true`, `"Discovery":"subscribe","Weights":"live","Report":{"Source":"pull","Fields":["util","x0","x1"]}`,
		`"MayCancel":true`, `"MayCancel":true,"MayProbe":true,"MayTell":true`, `"ReportX0":"free memory","ReportX1":"free slots"`,
		`"MemoryUnit":"one a slot","ReportX0":"free slots","ReportX1":"free memory"`,
		`"sockets":1024`, `"sockets":1024,"probe_ms":80`).Replace(whole)
	n, err := parse([]byte(text), nothing)
	if err != nil {
		t.Fatal(err)
	}
	if x := n.Settings; !x.PollForChanges || !x.LiveCapacity || !x.CapacityProbes || x.LoadReports || x.PeerMessages || x.AllowHedging || !n.PeerMessagesUnsupported ||
		n.LoadReportKeys.FreeSlots != "x0" || n.LoadReportKeys.FreeMemory != "x1" || n.ProbeTimeout != 80*time.Millisecond {
		t.Errorf("%+v %+v", n, x)
	}
	if n, err = parse([]byte(whole), nothing); err != nil || n.Settings.LiveCapacity || n.Settings.CapacityProbes || n.Settings.PeerMessages || n.PeerMessagesUnsupported || n.Settings.PollForChanges {
		t.Errorf("%+v %v", n.Settings, err)
	}
}

// TestClocks: by how much clocks may differ reaches the module, and is nothing where the settings say nothing.
func TestClocks(t *testing.T) {
	for text, want := range map[string][3]int64{whole: {0, 0, 5e9},
		strings.Replace(whole, `"Odd":true`, `"Rules":{"LeftMargin":7500000000,"BootStampError":40}`, 1): {7500e6, 40, 5e9}} {
		n, err := parse([]byte(text), nothing)
		if err != nil || [3]int64{n.Settings.DeadlineMargin, n.Settings.StartTimeError, n.Settings.Classes[0].MaxDeadline} != want {
			t.Errorf("%v, want %v", err, want)
		}
	}
	for _, key := range []string{"LeftMargin", "BootStampError"} {
		text := strings.Replace(whole, `"Odd":true`, `"Rules":{"`+key+`":-1}`, 1)
		_, err := parse([]byte(text), nothing)
		checkKeyError(t, key, err, "settings.Rules."+key+": ")
	}
}

// TestReloadLooksAtNoServers: a node that reads its file again takes the new place of discovery from it, and decodes
// no server. Danger: a node with a small share of a core stands still for a list of thousands that nobody looks at.
func TestReloadLooksAtNoServers(t *testing.T) {
	path := filepath.Join(t.TempDir(), "c.json")
	env := func(variable string) string { return map[string]string{"EDGE_CONFIG": path}[variable] }
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(whole)
	n, err := Load(env)
	if err != nil {
		t.Fatal(err)
	}
	write(strings.NewReplacer("127.0.0.2:85", "127.0.0.3:85", `"addr":"10.0.0.1:7"`, `"addr":"nowhere"`).Replace(whole))
	if now, left, err := n.Reload(env); err != nil || len(left) > 0 || now.Discovery != "127.0.0.3:85" || len(now.InitialEndpoints.Endpoints) > 0 {
		t.Errorf("%v, %v, %+v", err, left, now)
	}
	if _, err := Load(env); err == nil {
		t.Error("a start took a server with no address")
	}
}
