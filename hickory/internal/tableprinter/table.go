// Package tableprinter writes tables for terminals and JSON for machines.
package tableprinter

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const columnGap = 2

// Table writes rows under headings.
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
