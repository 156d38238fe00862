package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// Table is a table with an optional header.
type Table struct {
	Header []string
	Rows   [][]string
}

// Add appends a row.
func (t *Table) Add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.Rows = append(t.Rows, row)
}

// Print writes value as JSON or the table, depending on the output format.
func (e *Environment) Print(value any, table Table) error {
	if e.Format == FormatJSON {
		enc := json.NewEncoder(e.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	}
	w := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', 0)
	if len(table.Header) > 0 {
		fmt.Fprintln(w, strings.Join(table.Header, "\t"))
	}
	for _, row := range table.Rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}
