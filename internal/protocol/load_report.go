// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// MaxLoadReportBytes is the maximum size of an encoded load report.
const MaxLoadReportBytes = 4 << 10

// maxSlots bounds the slots of a server. It is more than any machine has; larger values are invalid.
const maxSlots = 1 << 16

// LoadReportKeys are the keys of the values in a load report. An empty key means that the report does
// not include the value.
type LoadReportKeys struct {
	FreeSlots, FreeMemory string
}

// LoadReport is the free capacity of a server, as reported in response to a probe.
type LoadReport struct {
	FreeSlots  float64
	FreeMemory float64 // memory units; math.MaxFloat64: not reported
}

// DecodeLoadReport decodes a load report, which is a JSON object or a list of name=value pairs. It
// returns an error if a value named by keys is missing or out of range, because such a value must not
// count as free capacity.
func DecodeLoadReport(text []byte, keys LoadReportKeys) (LoadReport, error) {
	values := map[string]float64{}
	if err := json.Unmarshal(text, &values); err != nil {
		values = parsePairs(string(text))
	}
	report := LoadReport{FreeMemory: math.MaxFloat64}
	if keys.FreeSlots != "" {
		slots, err := reportedCapacity(values, keys.FreeSlots)
		if err != nil {
			return LoadReport{}, err
		}
		report.FreeSlots = slots
	}
	if keys.FreeMemory != "" {
		memory, err := reportedCapacity(values, keys.FreeMemory)
		if err != nil {
			return LoadReport{}, err
		}
		report.FreeMemory = memory
	}
	return report, nil
}

// parsePairs parses name=value pairs, separated by commas. Values that are not numbers are skipped.
func parsePairs(text string) map[string]float64 {
	values := map[string]float64{}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if number, err := strconv.ParseFloat(value, 64); err == nil {
			values[name] = number
		}
	}
	return values
}

// reportedCapacity returns a value of a load report. A negative value counts as 0, because reports are
// noisy and may be slightly below 0.
func reportedCapacity(values map[string]float64, key string) (float64, error) {
	value, reported := values[key]
	if !reported || !(value > -maxSlots && value < maxSlots) {
		return 0, fmt.Errorf("load report: %s: got %v (reported: %t), want a number between %d and %d",
			key, value, reported, -maxSlots, maxSlots)
	}
	return max(value, 0), nil
}
