// SPDX-License-Identifier: Apache-2.0

package protocol

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// LoadReportKeys names the values of load reports that the module asks for; empty: none tells it.
type LoadReportKeys struct {
	FreeSlots, FreeMemory string
}

// LoadReport is what an executor told of its room when it was probed.
type LoadReport struct {
	FreeSlots, FreeMemory float64
}

// MaxLoadReportBytes bounds the bytes of a load report.
const MaxLoadReportBytes = 4 << 10

// DecodeLoadReport decodes a load report, an object or name=value pairs. One without free slots, or with an absurd number, is a
// fault; noise may tell of a little less than nothing, which is nothing. Memory that is not reported is no limit.
func DecodeLoadReport(text []byte, names LoadReportKeys) (LoadReport, error) {
	values := map[string]float64{}
	if err := json.Unmarshal(text, &values); err != nil {
		clear(values)
		for pair := range strings.SplitSeq(string(text), ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
			if x, err := strconv.ParseFloat(value, 64); err == nil {
				values[name] = x
			}
		}
	}
	l := LoadReport{FreeMemory: math.MaxFloat64}
	for name, into := range map[string]*float64{names.FreeSlots: &l.FreeSlots, names.FreeMemory: &l.FreeMemory} {
		if name == "" {
			continue
		}
		x, told := values[name]
		if !told || !(x > -maxSlots && x < maxSlots) {
			return LoadReport{}, fmt.Errorf("a load report without a usable %s", name)
		}
		*into = max(x, 0)
	}
	return l, nil
}
