// SPDX-License-Identifier: Apache-2.0

// Package ci holds what .ci/run judges a run of tests by.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// verdictCase is one run of the tests and what is listed for it.
type verdictCase struct {
	known, output, code string
	want                string // what is printed for a red run; empty: the run is green
}

// TestVerdict: a listed test may be red, and nothing else may; each way of hiding more behind the list is refused.
func TestVerdict(t *testing.T) {
	const (
		ok        = "ok  \tfernrail/a/b\t0.1s\n"
		fails     = "--- FAIL: TestX (0.01s)\n    --- FAIL: TestX/part (0.00s)\nFAIL\nFAIL\tfernrail/a/b\t0.1s\nFAIL\n"
		command   = "go test ./a/b -run TestX, seed 7"
		listed    = "a/b.TestX\t" + command + "\talways: it sends twice\t44\n"
		sometimes = "a/b.TestX\t" + command + "\tsometimes: it sends twice\t44\n"
	)
	entry := func(test string) string { return strings.Replace(listed, "a/b.TestX", test, 1) }
	otherFails := strings.Replace(fails, "FAIL\nFAIL", "--- FAIL: TestY (0.1s)\nFAIL\nFAIL", 1)
	for name, c := range map[string]verdictCase{
		"green":                         {"", ok, "0", ""},
		"green, comments alone":         {"# none\n\n", ok, "0", ""},
		"a listed test fails":           {listed, fails + ok, "1", ""},
		"a test fails":                  {"", ok + fails, "1", "red: a/b.TestX"},
		"another fails as well":         {listed, otherFails, "1", "red: a/b.TestY"},
		"its name elsewhere":            {listed, strings.ReplaceAll(fails, "a/b", "a/c"), "1", "red: a/c.TestX"},
		"a listed test passes":          {listed, ok, "0", "listed, and did not fail"},
		"a listed test is not there":    {entry("a/b.TestZ") + listed, fails, "1", "a/b.TestZ is listed"},
		"four are listed":               {listed + entry("a.A") + entry("a.B") + entry("a.C"), fails, "1", "red: 4 tests"},
		"no command":                    {strings.Replace(listed, command, "", 1), fails, "1", "command, what was seen or issue is missing"},
		"no issue":                      {strings.Replace(listed, "\t44", "", 1), fails, "1", "command, what was seen or issue is missing"},
		"the form of before":            {"a/b.TestX\tit sends twice\t44\n", fails, "1", "command, what was seen or issue is missing"},
		"how often is not said":         {strings.Replace(listed, "always: ", "", 1), fails, "1", "does not begin with always or sometimes"},
		"it fails this time":            {sometimes, fails, "1", ""},
		"it passes this time":           {sometimes, ok, "0", ""},
		"sometimes, and another fails":  {sometimes, otherFails, "1", "red: a/b.TestY"},
		"sometimes, its package is out": {sometimes, strings.ReplaceAll(ok, "a/b", "a/c"), "0", "its package was not run"},
		"sometimes, it is not there":    {strings.ReplaceAll(sometimes, "TestX", "TestZ"), ok, "0", "a/b.TestZ is listed, and is not there"},
		"it does not build":             {listed, fails + "FAIL\tfernrail/a/c [build failed]\n", "1", "red: a/c: no test to name"},
		"it panics":                     {listed, "--- FAIL: TestX (0.01s)\npanic: odd [recovered]\nFAIL\tfernrail/a/b\t0.1s\n", "1", "red: a/b: panic"},
		"it runs out of time":           {listed, "panic: test timed out after 1s\nFAIL\tfernrail/a/b\t1.0s\n", "1", "red: a/b: panic"},
		"it exits":                      {listed, fails + "exit status 3\nFAIL\tfernrail/a/c\t0.1s\n", "1", "red: a/c: no test to name"},
		"no word of why":                {"", "", "2", "red: go test ended with 2"},
	} {
		t.Run(name, func(t *testing.T) { checkVerdict(t, c) })
	}
}

// checkVerdict runs the script on one case, beside a package a/b that has TestX and TestY.
func checkVerdict(t *testing.T, c verdictCase) {
	t.Helper()
	root := t.TempDir()
	if err := os.MkdirAll(filepath.Join(root, "a", "b"), 0o700); err != nil {
		t.Fatal(err)
	}
	known, output := filepath.Join(root, "known"), filepath.Join(root, "output")
	for path, text := range map[string]string{
		known:                                c.known,
		output:                               c.output,
		filepath.Join(root, "a/b/b_test.go"): "package b\n\nfunc TestX(t *testing.T) {}\n\nfunc TestY(t *testing.T) {}\n",
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	text, err := exec.Command("./verdict", known, output, c.code, root).CombinedOutput()
	if (err == nil) != (c.want == "") || !strings.Contains(string(text), c.want) {
		t.Errorf("%v, %q", err, text)
	}
}
