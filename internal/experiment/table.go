// SPDX-License-Identifier: Apache-2.0

package experiment

import (
	"bytes"
	"fmt"
	"strings"
)

// Table formats rows as Markdown, with a table of the given figures for each scenario.
func Table(plan *Plan, rows []Row, figures []string) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "# %s\n\nEmulated. Means over seeds with 95%% intervals; differences to \"%s\" by pairs of runs with the same seed.\n",
		plan.Title, plan.Base)
	for _, scenario := range plan.Scenarios {
		writeHead(&out, scenario, figures)
		for _, row := range rows {
			if row.Scenario == scenario {
				writeRow(&out, row, figures)
			}
		}
	}
	return out.Bytes()
}

func writeHead(out *bytes.Buffer, scenario string, figures []string) {
	fmt.Fprintf(out, "\n## %s\n\n| variant | runs |", scenario)
	for _, name := range figures {
		fmt.Fprintf(out, " %s | against |", name)
	}
	fmt.Fprintf(out, "\n| --- | --- |%s\n", strings.Repeat(" --- | --- |", len(figures)))
}

func writeRow(out *bytes.Buffer, row Row, figures []string) {
	fmt.Fprintf(out, "| %s | %d |", row.Variant, row.Runs)
	for _, name := range figures {
		against := "-"
		if difference, known := row.Against[name]; known {
			against = fmt.Sprintf("%+.4g ± %.2g", difference.Mean, difference.Half)
		}
		mean := row.Means[name]
		fmt.Fprintf(out, " %.5g ± %.2g | %s |", mean.Mean, mean.Half, against)
	}
	fmt.Fprintln(out)
}
