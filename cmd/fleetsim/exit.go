// SPDX-License-Identifier: Apache-2.0

package main

import "fmt"

// Exit codes other than 0. Scripts rely on them.
const (
	exitRuleBroken = 1
	exitUnreadable = 2
)

// exitError ends the program with an exit code of its own.
type exitError struct {
	error
	code int
}

// ExitCode returns the exit code; the command line parser calls it.
func (e exitError) ExitCode() int { return e.code }

// Unwrap returns the error that the program ends with.
func (e exitError) Unwrap() error { return e.error }

// unreadable returns the error for input that can't be read or output that can't be written.
func unreadable(err error) error { return exitError{err, exitUnreadable} }

// ruleBroken returns the error for a run or log that violates a rule.
func ruleBroken(format string, args ...any) error {
	return exitError{fmt.Errorf(format, args...), exitRuleBroken}
}
