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
	docsPage         = "../../docs/errors.md"
	tableBeginMarker = "<!-- table of pkg/result; go test ./pkg/result -update rewrites it -->\n"
	tableEndMarker   = "<!-- end of the table -->\n"
)

// Operators and callers rely on the page, so it must list exactly the codes in Table.
func TestDocsTableMatchesCodes(t *testing.T) {
	var rows strings.Builder
	rows.WriteString("| code | name | outcome | HTTP status | exit code | meaning |\n| ---: | --- | --- | ---: | ---: | --- |\n")
	for _, i := range Table {
		fmt.Fprintf(&rows, "| %d | `%s` | %s | %d | %d | %s |\n", i.Code, i.Name, i.Outcome, i.HTTPStatus, i.ExitCode, i.Meaning)
	}
	data, err := os.ReadFile(docsPage)
	require.NoError(t, err)
	before, rest, ok := strings.Cut(string(data), tableBeginMarker)
	require.True(t, ok, "the marker before the table is missing")
	have, after, ok := strings.Cut(rest, tableEndMarker)
	require.True(t, ok, "the marker after the table is missing")
	if *update {
		require.NoError(t, os.WriteFile(docsPage, []byte(before+tableBeginMarker+rows.String()+tableEndMarker+after), 0o644))
		return
	}
	require.Equal(t, rows.String(), have, "run go test ./pkg/result -update")
}

// Guards against a code that is listed twice or out of order, and against a name that two
// codes share, since callers and operators distinguish results by code or by name.
func TestCodesAreUniqueAndOrdered(t *testing.T) {
	names, last := map[string]Code{}, Code(-1)
	for _, i := range Table {
		require.Greater(t, i.Code, last)
		require.NotContains(t, names, i.Name)
		require.NotContains(t, i.Meaning, "|")
		require.Equal(t, i, i.Code.Info())
		if i.Code != OK && i.Code != ConfigDuplicate {
			require.NotZero(t, i.ExitCode, i.Name)
			require.GreaterOrEqual(t, i.HTTPStatus, 400, i.Name)
		}
		names[i.Name], last = i.Code, i.Code
	}
	require.Equal(t, Internal.Info(), Code(9999).Info(), "an unlisted code must not look like a success")
}
