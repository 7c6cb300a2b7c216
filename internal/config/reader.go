// SPDX-License-Identifier: Apache-2.0

package config

import (
	"cmp"
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxFloat bounds the accepted numbers: a time in nanoseconds below it fits an int64.
const maxFloat = 1e18

// Lookup looks up a value by its dotted name, such as Limits.IdleClose or Schemes.0.SlaTime.
type Lookup func(name string) (value string, found bool)

// lookupIn returns a Lookup for the keys of a map.
func lookupIn(values map[string]string) Lookup {
	return func(name string) (string, bool) {
		value, found := values[name]
		return value, found
	}
}

// valueReader reads values by key and converts them. It keeps the first error, so that a caller may read many
// values and check err once; the results must not be used if err is set.
type valueReader struct {
	lookup    Lookup
	keyPrefix string // prepended to each key in errors, such as "settings."
	err       error
}

// fail records that the value of a key does not have the required form.
func (r *valueReader) fail(key, value, want string) {
	if r.err == nil {
		r.err = keyErrorf(r.keyPrefix+key, "%q is not %s", value, want)
	}
}

// text returns a value unconverted, or "" if it is absent.
func (r *valueReader) text(key string) string {
	value, _ := r.lookup(key)
	return value
}

// boolean parses true, false, 1 or 0. An absent value is false.
func (r *valueReader) boolean(key string) bool {
	switch value := r.text(key); value {
	case "true", "1":
		return true
	case "", "false", "0":
	default:
		r.fail(key, value, "true or false")
	}
	return false
}

// choice returns a value that must be one of the words. The first word is the default.
func (r *valueReader) choice(key string, words ...string) string {
	value := r.text(key)
	if value != "" && !slices.Contains(words, value) {
		r.fail(key, value, "one of "+strings.Join(words, ", "))
	}
	return cmp.Or(value, words[0])
}

// float parses a number.
func (r *valueReader) float(key string, absent float64) float64 {
	return r.parseFloat(key, r.text(key), absent)
}

// parseFloat converts a value that was already read, such as a list element.
func (r *valueReader) parseFloat(key, value string, absent float64) float64 {
	if value == "" {
		return absent
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) || math.Abs(number) > maxFloat {
		r.fail(key, value, "a number")
		return absent
	}
	return number
}

// integer parses an integer of at least the minimum.
func (r *valueReader) integer(key string, absent, minimum int64) int64 {
	value := r.text(key)
	if value == "" {
		return absent
	}
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil || number < minimum {
		r.fail(key, value, fmt.Sprintf("an integer of at least %d", minimum))
		return absent
	}
	return number
}

// milliseconds parses a duration given as an integer number of milliseconds.
func (r *valueReader) milliseconds(key string, absent, minimum time.Duration) time.Duration {
	return time.Duration(r.integer(key, absent.Milliseconds(), minimum.Milliseconds())) * time.Millisecond
}

// list returns a list of scalars, or nil if it is absent or empty.
func (r *valueReader) list(key string) []string {
	value := r.text(key)
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

// listElement converts one element of a list. It returns absent if the list is too short.
func (r *valueReader) listElement(key string, values []string, index int, absent float64) float64 {
	if index >= len(values) {
		return absent
	}
	return r.parseFloat(key, values[index], absent)
}

// address reads host:port from an environment variable or, if that is not set, from the key.
func (r *valueReader) address(key, variable string, getenv func(string) string) string {
	source, address := variable, getenv(variable)
	if address == "" {
		source, address = key, r.text(key)
	}
	if _, _, err := net.SplitHostPort(address); err != nil && r.err == nil {
		r.err = keyErrorf(source, "%q is not host:port", address)
	}
	return address
}
