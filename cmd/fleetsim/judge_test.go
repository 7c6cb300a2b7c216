// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"
)

const eventLog = `{"schemes":{"s":{"effect":"once-only"}},"executors":{"a":{"slots":4}}}
{"at":1,"kind":"taken","node":"n","txn":"x","scheme":"s","expiry":9}
{"at":2,"kind":"posted","txn":"x","executor":"a","posting":0}
{"at":3,"kind":"ended","txn":"x","posting":0,"result":"broken"}
`

// TestJudgeEndsWithItsVerdict: scripts tell by the exit code whether rules are kept, broken, or the log is no log.
func TestJudgeEndsWithItsVerdict(t *testing.T) {
	for log, want := range map[string]struct {
		code int
		text string
	}{
		eventLog + `{"at":4,"kind":"answered","txn":"x","result":"reversed"}`: {0, "4 events, 0 breaches"},
		eventLog + `{"at":4,"kind":"answered","txn":"x","result":"declined"}`: {1, "rule 2, event 3: txn x: declined"},
		eventLog + `{"at":4,"kind":"answered","txn":"x","resu`:                {0, "cut short after event 2"},
		eventLog + `{"at":4,"kind":"answered","txn":"y"}`:                     {2, ""},
		eventLog + `{"at":4,"odd":1}`:                                         {2, ""},
		`{"odd":1}`:                                                           {2, ""},
	} {
		var out strings.Builder
		err, code := (&judgeCommand{Log: "log", Max: 5}).check(strings.NewReader(log), &out), 0
		if v := (exitError{}); errors.As(err, &v) {
			code = v.ExitCode()
		}
		if code != want.code || !strings.Contains(out.String(), want.text) {
			t.Errorf("%q: %d %v\n%s", log, code, err, out.String())
		}
	}
}

// TestEmulatedLogIsJudged: the log that emulate writes is one that judge reads, and both end alike.
func TestEmulatedLogIsJudged(t *testing.T) {
	log := t.TempDir() + "/log"
	var out bytes.Buffer
	c := &emulateCommand{Scenario: "../../example/scenarios/troubles.toml", Seed: 2, Policy: "two-choices", Log: log, Max: 1}
	played := c.run(&out)
	f, err := os.Open(log)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	held := (&judgeCommand{Log: log, Max: 1}).check(f, &out)
	if (played == nil) != (held == nil) || !strings.Contains(out.String(), "in time") || !strings.Contains(out.String(), " events, ") {
		t.Errorf("played: %v, judged: %v\n%s", played, held, out.String())
	}
	c.Policy = "best"
	var v exitError
	if err := c.run(&out); !errors.As(err, &v) || v.code != 2 {
		t.Errorf("an unknown policy: %v", err)
	}
}
