// SPDX-License-Identifier: Apache-2.0

package main

import (
	"errors"
	"strings"
	"testing"
)

const lawful = `{"schemes":{"s":{"effect":"once-only"}},"executors":{"a":{"slots":4}}}
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
		lawful + `{"at":4,"kind":"answered","txn":"x","result":"reversed"}`: {0, "4 events, 0 breaches"},
		lawful + `{"at":4,"kind":"answered","txn":"x","result":"declined"}`: {1, "rule 2, event 3: txn x: declined"},
		lawful + `{"at":4,"kind":"answered","txn":"x","resu`:                {0, "cut short after event 2"},
		lawful + `{"at":4,"kind":"answered","txn":"y"}`:                     {2, ""},
		lawful + `{"at":4,"odd":1}`:                                         {2, ""},
		`{"odd":1}`:                                                         {2, ""},
	} {
		var out strings.Builder
		err, code := (&judged{Log: "log", Max: 5}).hold(strings.NewReader(log), &out), 0
		if v := (verdict{}); errors.As(err, &v) {
			code = v.ExitCode()
		}
		if code != want.code || !strings.Contains(out.String(), want.text) {
			t.Errorf("%q: %d %v\n%s", log, code, err, out.String())
		}
	}
}
