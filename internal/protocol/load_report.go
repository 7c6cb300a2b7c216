// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// MaxLoadReportBytes bounds a load report.
const MaxLoadReportBytes = 4 << 10

// maxSlots is more than any machine has; a report of more is not used.
const maxSlots = 1 << 16

// LoadReportKeys are the names of the values that a load report gives; empty: it does not.
type LoadReportKeys struct {
	FreeSlots, FreeMemory string
}

// LoadReport is a server's free capacity in answer to a probe.
type LoadReport struct {
	FreeSlots  float64
	FreeMemory float64 // memory units; math.MaxFloat64 where it is not reported
}

// DecodeLoadReport decodes a load report, either a JSON object or name=value pairs. A report that
// lacks a value which keys names, or gives an absurd one, is an error: it must not look like free
// capacity.
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

// parsePairs parses name=value pairs, separated by commas. What is not a number is left out.
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

// reportedCapacity gives a value of a load report. Reports are noisy: a little less than nothing is
// nothing.
func reportedCapacity(values map[string]float64, key string) (float64, error) {
	value, reported := values[key]
	if !reported || !(value > -maxSlots && value < maxSlots) {
		return 0, fmt.Errorf("a load report without a usable %s", key)
	}
	return max(value, 0), nil
}
