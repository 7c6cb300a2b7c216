// SPDX-License-Identifier: Apache-2.0

package main

import "fmt"

// Exit codes beside 0, which scripts rely on.
const (
	exitRuleBroken = 1
	exitUnreadable = 2
)

// exitError ends the program with an exit code of its own.
type exitError struct {
	error
	code int
}

// ExitCode is read by the command line parser.
func (e exitError) ExitCode() int { return e.code }

// Unwrap returns the error that the program ends with.
func (e exitError) Unwrap() error { return e.error }

// unreadable is the exit for input that can't be read or output that can't be written.
func unreadable(err error) error { return exitError{err, exitUnreadable} }

// ruleBroken is the exit for a run or log that breaks a rule.
func ruleBroken(format string, args ...any) error {
	return exitError{fmt.Errorf(format, args...), exitRuleBroken}
}
