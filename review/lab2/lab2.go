// SPDX-License-Identifier: Apache-2.0

//go:build review

// Package lab2 has the stand-ins and the cases of the second review. A case plays real processes of the project.
package lab2

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxDuration ends a case that has not ended by itself.
const maxDuration = 115 * time.Second

// errBroken wraps what breaks the rule of a case.
var errBroken = errors.New("rule broken")

// cases are the cases by name: the deploy file that they use and what they play. The first three are played by
// review/4 to 6, blind and gone by the trial program; the report names them.
var cases = map[string]struct {
	deploy string
	play   func(p *platform) error
}{
	"pipeline": {"deploy/balancer.toml", playPipeline},
	"window":   {"deploy/balancer.toml", playWindow},
	"twin":     {"deploy/balancer.toml", playTwin},
	"blind":    {"deploy/balancer.toml", playBlind},
	"gone":     {"deploy/balancer.toml", playGone},
}

// Main plays a case and ends the process: with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run. It runs in the root of the repository and writes record.txt into the given folder.
func Main(name, dir string) { os.Exit(run(name, dir)) }

// run plays a case and returns the exit code.
func run(name, dir string) int {
	selected, found := cases[name]
	if !found {
		fmt.Fprintf(os.Stderr, "no such case: %q\n", name)
		return 2
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	p, err := newPlatform(rec, root, selected.deploy, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec.add("case %s, trouble: %t", name, p.trouble)
	defer p.end()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	result := make(chan error, 1)
	go func() { result <- selected.play(p) }()
	select {
	case err = <-result:
	case <-stopped:
		err = fmt.Errorf("%w: stopped by a signal", errSetup)
	case <-time.After(maxDuration):
		err = fmt.Errorf("%w: it took longer than %v", errSetup, maxDuration)
	}
	return exitCode(rec, err)
}

// exitCode records the verdict and returns the exit code.
func exitCode(rec *record, err error) int {
	verdict, code := "the rule held", 0
	switch {
	case errors.Is(err, errBroken):
		verdict, code = err.Error(), 1
	case err != nil:
		verdict, code = err.Error(), 2
	}
	rec.add("verdict: %s (exit %d)", verdict, code)
	fmt.Println(verdict)
	return code
}
