// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"fernrail/internal/experiment"
)

// readResults reads the stored results. An incomplete last line is removed from the file, so that its run is
// repeated.
func readResults(path string) (results []experiment.Result, err error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	complete := bytes.LastIndexByte(text, '\n') + 1
	if complete < len(text) {
		if err := os.Truncate(path, int64(complete)); err != nil {
			return nil, err
		}
	}
	for i, line := range bytes.Split(bytes.TrimSpace(text[:complete]), []byte{'\n'}) {
		var result experiment.Result
		if len(line) == 0 {
			continue
		}
		if err := json.Unmarshal(line, &result); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, i+1, err)
		}
		results = append(results, result)
	}
	return results, nil
}
