package settings

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fulmarbeam/fulmarbeam/pkg/result"
)

const gatewayExample = "../../docs/examples/gateway.jsonc"

// Guards against an example file that is invalid or whose values differ from the defaults.
func TestGatewayExample(t *testing.T) {
	g, err := LoadGateway(gatewayExample)
	require.NoError(t, err)
	want := DefaultGateway()
	require.Equal(t, want.Shutdown, g.Shutdown)
	require.Equal(t, want.RetryBudget, g.RetryBudget)
	require.Equal(t, want.Prices, g.Prices)
	require.Equal(t, want.Limits, g.Limits)
	require.Equal(t, want.Workspaces, g.Workspaces)
	require.Equal(t, want.Log, g.Log)
	require.Equal(t, want.Tracing, g.Tracing)
}

// Guards against invalid values that are accepted or reported at the wrong field.
func TestGatewayProblems(t *testing.T) {
	example, err := os.ReadFile(gatewayExample)
	require.NoError(t, err)
	for _, c := range []struct{ from, to, path string }{
		{`"zone": "addis-a" }`, `"zone": "nowhere" }`, "zones"},
		{`"id": "edge-1"`, `"id": "EDGE 1"`, "vm.id"},
		{`"callers": "127.0.0.1:8080"`, `"callers": "tickets.example:80"`, "listen.callers"},
		{`"address": "127.0.0.1:9000"`, `"address": ""`, "store.address"},
		{`["127.0.0.2"]`, `["seed"]`, "seeds"},
		{`["127.0.0.2"]`, `"127.0.0.2"`, "seeds"},
		{`"grace": "6s"`, `"grace": 6`, "shutdown.grace"},
		{`"ratio": 0.1`, `"ratio": 2`, "repeats.ratio"},
		{`"slack": 0`, `"slack": -1`, "repeats.slack"},
		{`"hawassa-a": "hawassa"`, `"hawassa-a": 7`, "zones.hawassa-a"},
		{`"revocation": "5s"`, `"revocation": "0.5s"`, "workspaces.revocation"},
		{`"fail_closed": false`, `"fail_closed": "no"`, "workspaces.fail_closed"},
		{`"level": "info"`, `"level": "loud"`, "log.level"},
		{`"seeds"`, `"sedes"`, "sedes"},
	} {
		text := strings.Replace(string(example), c.from, c.to, 1)
		require.NotEqual(t, string(example), text, c.from)
		_, err := ParseGateway("f", []byte(text))
		var problems *Error
		require.True(t, errors.As(err, &problems), c.to)
		require.Equal(t, c.path, problems.Problems[0].Path, c.to)
		var coded *result.Error
		require.True(t, errors.As(err, &coded))
		require.Equal(t, result.SettingsInvalid, coded.Code)
	}
}
