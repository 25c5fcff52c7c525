package result

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the table of docs/errors.md")

const (
	page       = "../../docs/errors.md"
	tableBegin = "<!-- table of pkg/result; go test ./pkg/result -update rewrites it -->\n"
	tableEnd   = "<!-- end of the table -->\n"
)

// The page is what operators and callers program against: it must list exactly the
// codes of the program.
func TestPageListsTheTable(t *testing.T) {
	var rows strings.Builder
	rows.WriteString("| code | name | outcome | HTTP status | exit code | meaning |\n| ---: | --- | --- | ---: | ---: | --- |\n")
	for _, i := range Table {
		fmt.Fprintf(&rows, "| %d | `%s` | %s | %d | %d | %s |\n", i.Code, i.Name, i.Outcome, i.HTTP, i.ExitCode, i.Meaning)
	}
	data, err := os.ReadFile(page)
	require.NoError(t, err)
	before, rest, ok := strings.Cut(string(data), tableBegin)
	require.True(t, ok, "the mark before the table is missing")
	have, after, ok := strings.Cut(rest, tableEnd)
	require.True(t, ok, "the mark after the table is missing")
	if *update {
		require.NoError(t, os.WriteFile(page, []byte(before+tableBegin+rows.String()+tableEnd+after), 0o644))
		return
	}
	require.Equal(t, rows.String(), have, "run go test ./pkg/result -update")
}

// Guards against a code listed twice or out of order, and against a name that two
// codes share: clients tell results apart by either.
func TestTableIsConsistent(t *testing.T) {
	names, last := map[string]Code{}, Code(-1)
	for _, i := range Table {
		require.Greater(t, i.Code, last)
		require.NotContains(t, names, i.Name)
		require.NotContains(t, i.Meaning, "|")
		require.Equal(t, i, i.Code.Info())
		if i.Code != OK && i.Code != ConfigDuplicate {
			require.NotZero(t, i.ExitCode, i.Name)
			require.GreaterOrEqual(t, i.HTTP, 400, i.Name)
		}
		names[i.Name], last = i.Code, i.Code
	}
	require.Equal(t, Internal.Info(), Code(9999).Info(), "an unlisted code must not look like a success")
}
