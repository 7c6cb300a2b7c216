// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"
)

const lawful = `{"schemes":{"s":{"effect":"once-only"}},"executors":{"a":{"slots":4}}}
{"at":1,"kind":"taken","node":"n","txn":"x","scheme":"s","expiry":9}
{"at":2,"kind":"posted","txn":"x","executor":"a","posting":0}
{"at":3,"kind":"ended","txn":"x","posting":0,"result":"broken"}
`

// TestCheckExitCodes checks the exit codes that scripts rely on: 0 for a lawful log, 1 for a violation, 2 for
// an invalid log.
func TestCheckExitCodes(t *testing.T) {
	for log, want := range map[string]struct {
		code int
		text string
	}{
		lawful + `{"at":4,"kind":"answered","txn":"x","result":"reversed"}`: {0, "4 events, 0 violations"},
		lawful + `{"at":4,"kind":"answered","txn":"x","result":"declined"}`: {1,
			"rule 2, event 3: request x: shed"},
		lawful + `{"at":4,"kind":"answered","txn":"x","resu`: {0, "cut short after event 2"},
		lawful + `{"at":4,"kind":"answered","txn":"y"}`:      {2, ""},
		lawful + `{"at":4,"odd":1}`:                          {2, ""},
		`{"odd":1}`:                                          {2, ""},
	} {
		var out strings.Builder
		err, code := (&checkCommand{Log: "log", Max: 5}).check(strings.NewReader(log), &out), 0
		if v := (exitError{}); errors.As(err, &v) {
			code = v.ExitCode()
		}
		if code != want.code || !strings.Contains(out.String(), want.text) {
			t.Errorf("%q: got exit code %d, error %v and output\n%s\nwant %d and %q", log, code, err,
				out.String(), want.code, want.text)
		}
	}
}

// TestEmulatedLogIsChecked checks that judge reads the log that emulate writes, and that both report
// violations or neither does.
func TestEmulatedLogIsChecked(t *testing.T) {
	log := t.TempDir() + "/log"
	var out bytes.Buffer
	c := &emulateCommand{Scenario: "../../example/scenarios/troubles.toml", Seed: 2, Policy: "two-choices",
		Log: log, Max: 1}
	playErr := c.play(&out)
	f, err := os.Open(log)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	checkErr := (&checkCommand{Log: log, Max: 1}).check(f, &out)
	if (playErr == nil) != (checkErr == nil) || !strings.Contains(out.String(),
		"in time") || !strings.Contains(out.String(), " events, ") {
		t.Errorf("got errors %v of emulate and %v of judge, want both or none, with summaries in\n%s",
			playErr, checkErr, out.String())
	}
	c.Policy = "best"
	var v exitError
	if err := c.play(&out); !errors.As(err, &v) || v.code != 2 {
		t.Errorf("unknown policy: got error %v, want exit code 2", err)
	}
}
