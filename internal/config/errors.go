// SPDX-License-Identifier: Apache-2.0

package config

import "fmt"

// KeyError reports a value that prevents a node from starting. Its text begins with the key, so that
// operators can find it in their file.
type KeyError struct {
	// Key is the dotted name of the value, such as limits.sockets or settings.Schemes.0.SlaTime; the
	// environment variable that the value came from; or "configuration" if the file cannot be parsed.
	Key string
	// Err is the reason.
	Err error
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

func (e *KeyError) Unwrap() error { return e.Err }

// keyErrorf returns a KeyError whose reason is formatted as by fmt.Errorf, including %w.
func keyErrorf(key, format string, args ...any) error {
	return &KeyError{Key: key, Err: fmt.Errorf(format, args...)}
}
