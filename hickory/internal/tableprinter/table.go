// Package tableprinter writes text tables for terminals and indented JSON for other
// programs.
package tableprinter

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

// Table writes aligned rows under upper-case headings.
func Table(out io.Writer, headings []string, rows [][]string) error {
	w := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(headings, "\t")))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// JSON writes a value as indented JSON.
func JSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
