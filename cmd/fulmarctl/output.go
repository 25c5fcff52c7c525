package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/spf13/cobra"

	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

// Output formats.
const (
	outputJSON  = "json"
	outputTable = "table"
)

// table is the human-readable form of a result.
type table struct {
	head []string
	rows [][]string
	note string // printed below the rows
}

func (t *table) addRow(cells ...string) { t.rows = append(t.rows, cells) }

// show prints v as JSON, or the table that render returns, depending on --output.
func (o *options) show(cmd *cobra.Command, v any, render func() table) error {
	out := cmd.OutOrStdout()
	if o.output == outputJSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(v); err != nil {
			return result.Errorf(result.Internal, "output: %v", err)
		}
		return nil
	}
	return render().write(out)
}

func (t table) write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if len(t.head) > 0 {
		fmt.Fprintln(w, strings.Join(t.head, "\t"))
	}
	for _, row := range t.rows {
		for i, cell := range row {
			row[i] = sanitize(cell)
		}
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	if err := w.Flush(); err != nil {
		return result.Errorf(result.Internal, "output: %v", err)
	}
	if t.note != "" {
		fmt.Fprintln(out, t.note)
	}
	return nil
}

// sanitize replaces control characters and line breaks, because events contain text from
// callers and servers. For an empty string it returns "-".
func sanitize(s string) string {
	if s == "" {
		return "-"
	}
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, s)
}

func formatTime(unixNano int64) string {
	if unixNano == 0 {
		return ""
	}
	return time.Unix(0, unixNano).UTC().Format("2006-01-02T15:04:05.000Z")
}

func str[T any](v T) string { return fmt.Sprint(v) }
