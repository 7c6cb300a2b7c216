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

// maxFloat bounds the numbers that are accepted. Below it a time in nanoseconds still fits an int64.
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

// valueReader reads values by key and converts them. It keeps the first error; from then on its results count for
// nothing, so that a caller may read many values and check err once.
type valueReader struct {
	lookup    Lookup
	keyPrefix string // before each key in errors, such as "settings."
	err       error
}

// fail records that the value of a key is not of the wanted form.
func (r *valueReader) fail(key, value, want string) {
	if r.err == nil {
		r.err = keyErrorf(r.keyPrefix+key, "%q is not %s", value, want)
	}
}

// text returns a value as it stands, or "" where it is absent.
func (r *valueReader) text(key string) string {
	value, _ := r.lookup(key)
	return value
}

// boolean reads true, false, 1 or 0; absent is false.
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

// choice reads one of a few words; the first one is the default.
func (r *valueReader) choice(key string, words ...string) string {
	value := r.text(key)
	if value != "" && !slices.Contains(words, value) {
		r.fail(key, value, "one of "+strings.Join(words, ", "))
	}
	return cmp.Or(value, words[0])
}

// float reads a number.
func (r *valueReader) float(key string, absent float64) float64 {
	return r.parseFloat(key, r.text(key), absent)
}

// parseFloat converts a value that was read already, such as one of a list.
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

// integer reads a whole number of at least the minimum.
func (r *valueReader) integer(key string, absent, minimum int64) int64 {
	value := r.text(key)
	if value == "" {
		return absent
	}
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil || number < minimum {
		r.fail(key, value, fmt.Sprintf("a whole number of at least %d", minimum))
		return absent
	}
	return number
}

// milliseconds reads a time that the file gives as a whole number of milliseconds.
func (r *valueReader) milliseconds(key string, absent, minimum time.Duration) time.Duration {
	return time.Duration(r.integer(key, absent.Milliseconds(), minimum.Milliseconds())) * time.Millisecond
}

// list reads a list of plain values; nil where it is absent or empty.
func (r *valueReader) list(key string) []string {
	value := r.text(key)
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

// listElement converts one element of a list; absent stands for those that a shorter list lacks.
func (r *valueReader) listElement(key string, values []string, index int, absent float64) float64 {
	if index >= len(values) {
		return absent
	}
	return r.parseFloat(key, values[index], absent)
}

// address reads host:port from an environment variable or, where that is not set, from the key.
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
