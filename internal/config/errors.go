// SPDX-License-Identifier: Apache-2.0

package config

import "fmt"

// KeyError reports a value that a node cannot start with. Its text begins with the key, which operators search for in
// their file.
type KeyError struct {
	// Key is the dotted name of the value, such as limits.sockets or settings.Schemes.0.SlaTime; the environment
	// variable that gave it; or "configuration" where the file as a whole cannot be read.
	Key string
	// Err says what is wrong with the value.
	Err error
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

func (e *KeyError) Unwrap() error { return e.Err }

// keyErrorf returns a KeyError with a formatted reason; %w wraps as with fmt.Errorf.
func keyErrorf(key, format string, args ...any) error {
	return &KeyError{Key: key, Err: fmt.Errorf(format, args...)}
}
