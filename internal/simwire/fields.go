// SPDX-License-Identifier: Apache-2.0

package simwire

import (
	"fmt"
	"strconv"
	"strings"

	"fernrail/dispatch"
)

// fields reads the name=value fields of one line. The first error is stored in err; later reads return
// zero values.
type fields struct {
	message string // name of the message, for errors
	rest    string // the line after the name, with fields separated by tabs
	err     error
}

func (f *fields) fail(format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(f.message+": "+format, args...)
	}
}

// find returns the value of a field. Lines are short, so each call scans the line.
func (f *fields) find(name string) (string, bool) {
	rest := f.rest
	for rest != "" {
		part, more, _ := strings.Cut(rest, "\t")
		if len(part) > len(name) && part[len(name)] == '=' && part[:len(name)] == name {
			return part[len(name)+1:], true
		}
		rest = more
	}
	return "", false
}

func (f *fields) text(name string) string {
	v, found := f.find(name)
	if !found || v == "" {
		f.fail("field %s is missing", name)
	}
	return v
}

func (f *fields) integer(name string) int64 { return f.parseInteger(name, f.text(name)) }

func (f *fields) parseInteger(name, v string) int64 {
	if f.err != nil {
		return 0
	}
	x, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		f.fail("field %s: %q is not a whole number", name, v)
	}
	return x
}

// integerOrZero returns the value of an integer field, or 0 if the field is absent.
func (f *fields) integerOrZero(name string) int64 {
	if v, found := f.find(name); found {
		return f.parseInteger(name, v)
	}
	return 0
}

func (f *fields) numberOr(name string, absent float64) float64 {
	v, found := f.find(name)
	if !found || f.err != nil {
		return absent
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || x != x || x > 1e18 || x < -1e18 {
		f.fail("field %s: %q is not a number", name, v)
		return absent
	}
	return x
}

// loadReportValue returns a value of the load report, or 0 if there is no report or no such value.
func (f *fields) loadReportValue(name string) float64 {
	report, found := f.find("ServerStats")
	if name == "" || !found {
		return 0
	}
	for pair := range strings.SplitSeq(report, ",") {
		if key, v, _ := strings.Cut(pair, ":"); key == name {
			x, err := strconv.ParseFloat(v, 64)
			if err != nil {
				f.fail("field ServerStats: %s: %q is not a number of slots", key, v)
			}
			// Reports are noisy: without free capacity the value may be slightly negative. Values out of
			// range count as 0.
			if x >= 0 && x < maxReportedSlots {
				return x
			}
			return 0
		}
	}
	return 0
}

// maxReportedSlots is the exclusive upper bound of a valid value in a load report.
const maxReportedSlots = 1 << 16

// outcomes maps the values of the Status field to the outcomes of attempts.
var outcomes = map[string]dispatch.Outcome{
	"delivered": dispatch.Succeeded, "app_error": dispatch.Failed, "shed": dispatch.Rejected,
	"expired": dispatch.TimedOut, "dial_failed": dispatch.ConnectFailed, "dropped": dispatch.ConnectionLost,
	"revoked": dispatch.Canceled, "unused": dispatch.NotSent,
}

func (f *fields) outcome() dispatch.Outcome {
	v := f.text("Status")
	o, known := outcomes[v]
	if !known {
		f.fail("unknown status %q", v)
	}
	return o
}
